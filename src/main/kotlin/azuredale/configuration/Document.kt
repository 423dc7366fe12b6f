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

/** A team with its [share], a positive weight, and the pools that it may use. */
public data class Team(
    val id: TeamId,
    val share: Double,
    val pools: Set<PoolId>,
)

/** Type of the backend servers in a pool: model engines or plain services. */
public enum class PoolKind { MODEL, SERVICE }

/**
 * A pool of backend servers.
 *
 * @property shards number of shards whose capacity is allotted independently.
 * @property initialCost estimated cost of a request before any request has completed, in tokens or calls
 *   depending on [kind].
 */
public data class Pool(
    val id: PoolId,
    val kind: PoolKind,
    val shards: Int = 1,
    val initialCost: Double = 1.0,
)

/** Lifecycle state of a backend server, as set by operators. */
public enum class ServerState { ACTIVE, LEAVING, RETIRED }

/**
 * A backend server.
 *
 * @property slots maximum number of concurrent requests.
 * @property checksFencing whether the server rejects requests with an outdated fencing token.
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

/** A model version that servers may load. A recall of [batch] withdraws it. */
public data class ModelVersionEntry(
    val id: ModelVersion,
    val batch: BatchId? = null,
    val isRetired: Boolean = false,
)

/** An adapter that servers may load. A recall of [batch] withdraws it. */
public data class AdapterEntry(
    val id: AdapterName,
    val batch: BatchId? = null,
    val isRetired: Boolean = false,
)

/** Withdraws all servers, model versions and adapters of [batch] from service. */
public data class Recall(
    val batch: BatchId,
    val reason: String,
)

/** Service-level objective of a pool: [percent] of requests must meet the latency limits. */
public data class Objective(
    val pool: PoolId,
    val firstTokenMilliseconds: Long = 1_200,
    val betweenTokensMilliseconds: Long = 42,
    val percent: Double = 95.0,
)

/** The fleet configuration that operators submit: failure domains, teams, pools, servers and recalls. */
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
    /** Servers of [pool] in document order. */
    public fun serversOf(pool: PoolId): List<BackendServer> = servers.values.filter { it.pool == pool }

    /** Whether this document permits sending a request with [requirement] to [server]. */
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

/** Pool, model version and adapter that a request needs. A null model version or adapter matches any server. */
public data class Requirement(
    val pool: PoolId,
    val modelVersion: ModelVersion? = null,
    val adapter: AdapterName? = null,
)

/**
 * A document that was accepted as [revision]. [text] is its INI source.
 *
 * @property submission id of the accepted submission, empty if unknown.
 */
public data class AcceptedDocument(
    val revision: Revision,
    val text: String,
    val document: Document,
    val submission: String = "",
)
