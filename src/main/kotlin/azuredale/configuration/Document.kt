package azuredale.configuration

import azuredale.identity.AdapterName
import azuredale.identity.BatchId
import azuredale.identity.FailureDomain
import azuredale.identity.ModelVersion
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.Revision
import azuredale.identity.ServerId
import azuredale.identity.TeamId

/** A team with its [share] (a positive weight) and the pools it may use. */
public data class Team(
    val id: TeamId,
    val share: Double,
    val pools: Set<PoolId>,
)

/** What a pool's servers speak. */
public enum class PoolKind { MODEL, SERVICE }

/**
 * A pool of backend servers.
 *
 * @property shards number of independently allotted parts.
 * @property initialCost estimate, in the pool's cost unit (tokens or calls), before any request has ended.
 */
public data class Pool(
    val id: PoolId,
    val kind: PoolKind,
    val shards: Int = 1,
    val initialCost: Double = 1.0,
)

/** Life cycle of a backend server as the operators declare it. */
public enum class ServerState { ACTIVE, LEAVING, RETIRED }

/**
 * A backend server.
 *
 * @property slots most requests in flight that the server may be given.
 * @property checksFencing whether it refuses an order with an old fencing number.
 */
public data class BackendServer(
    val id: ServerId,
    val pool: PoolId,
    val address: NetworkAddress,
    val failureDomain: FailureDomain,
    val slots: Int,
    val batch: BatchId? = null,
    val state: ServerState = ServerState.ACTIVE,
    val modelVersions: Set<ModelVersion> = emptySet(),
    val adapters: Set<AdapterName> = emptySet(),
    val checksFencing: Boolean = false,
)

/** A model version that servers may load, with the batch by which it can be recalled. */
public data class ModelVersionEntry(
    val id: ModelVersion,
    val batch: BatchId? = null,
    val isRetired: Boolean = false,
)

/** An adapter that servers may load, with the batch by which it can be recalled. */
public data class AdapterEntry(
    val id: AdapterName,
    val batch: BatchId? = null,
    val isRetired: Boolean = false,
)

/** A recall withdraws everything of [batch] from service. */
public data class Recall(
    val batch: BatchId,
    val reason: String,
)

/** A service-level objective of a pool; times in milliseconds, [percent] of requests must meet them. */
public data class Objective(
    val pool: PoolId,
    val firstTokenMilliseconds: Long = 1_200,
    val betweenTokensMilliseconds: Long = 42,
    val percent: Double = 95.0,
)

/** The configuration that operators submit, as a whole. */
public data class Document(
    val failureDomains: Map<FailureDomain, Region>,
    val teams: Map<TeamId, Team>,
    val pools: Map<PoolId, Pool>,
    val servers: Map<ServerId, BackendServer>,
    val modelVersions: Map<ModelVersion, ModelVersionEntry> = emptyMap(),
    val adapters: Map<AdapterName, AdapterEntry> = emptyMap(),
    val recalls: Map<BatchId, Recall> = emptyMap(),
    val objectives: Map<PoolId, Objective> = emptyMap(),
) {
    /** Servers of [pool], in the order of the document. */
    public fun serversOf(pool: PoolId): List<BackendServer> = servers.values.filter { it.pool == pool }

    /** Whether [server] may be given a request with these requirements under this document. */
    public fun allows(server: ServerId, requirement: Requirement): Boolean {
        val entry = servers[server] ?: return false
        return entry.pool == requirement.pool &&
            entry.state == ServerState.ACTIVE &&
            !isRecalled(entry.batch) &&
            allowsModel(entry, requirement.modelVersion) &&
            allowsAdapter(entry, requirement.adapter)
    }

    private fun allowsModel(server: BackendServer, version: ModelVersion?): Boolean {
        if (version == null) return true
        val entry = modelVersions[version] ?: return false
        return version in server.modelVersions && !entry.isRetired && !isRecalled(entry.batch)
    }

    private fun allowsAdapter(server: BackendServer, adapter: AdapterName?): Boolean {
        if (adapter == null) return true
        val entry = adapters[adapter] ?: return false
        return adapter in server.adapters && !entry.isRetired && !isRecalled(entry.batch)
    }

    private fun isRecalled(batch: BatchId?): Boolean = batch != null && batch in recalls
}

/** What a request needs of a backend server; a null model version or adapter means any. */
public data class Requirement(
    val pool: PoolId,
    val modelVersion: ModelVersion? = null,
    val adapter: AdapterName? = null,
)

/**
 * A document with the [revision] under which it was accepted; [text] is its INI source.
 *
 * @property submission id of the submission that was accepted, empty when not known.
 */
public data class AcceptedDocument(
    val revision: Revision,
    val text: String,
    val document: Document,
    val submission: String = "",
)
