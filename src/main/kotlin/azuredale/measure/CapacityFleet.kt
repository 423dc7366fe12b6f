package azuredale.measure

import azuredale.configuration.AcceptedDocument
import azuredale.configuration.BackendServer
import azuredale.configuration.Document
import azuredale.configuration.DocumentWriter
import azuredale.configuration.ModelVersionEntry
import azuredale.configuration.Pool
import azuredale.configuration.PoolKind
import azuredale.configuration.Team
import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.ModelVersion
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.membership.Member
import azuredale.membership.MemberState

/** Document and members of a synthetic fleet of [size], with one pool per model and two pools per team. */
internal class CapacityFleet(private val size: CapacitySize) {
    private val domains = List(size.failureDomains) { FailureDomain("domain-$it") }
    val pools: List<PoolId> = List(size.models) { PoolId("model-$it") }
    val members: List<Member> = List(size.routers, ::member)

    fun document(): Document {
        val teams = List(size.teams) { Team(TeamId("team-$it"), 1.0 + it % SHARES, poolsOf(it).toSet()) }
        val versions = pools.map { ModelVersionEntry(ModelVersion("${it.name}@1")) }
        return Document(
            failureDomains = domains.withIndex().associate { (index, it) -> it to Region("region-${index % REGIONS}") },
            teams = teams.associateBy { it.id },
            pools = pools.associateWith { Pool(it, PoolKind.MODEL, initialCost = INITIAL_COST) },
            servers = List(size.servers, ::server).associateBy { it.id },
            modelVersions = versions.associateBy { it.id },
        )
    }

    fun accepted(): AcceptedDocument = document().let { AcceptedDocument(Revision(1), DocumentWriter.write(it), it) }

    /** Returns the pools that team [number] may use. */
    fun poolsOf(number: Int): List<PoolId> = listOf(pools[number % pools.size], pools[(number + 1) % pools.size])

    private fun member(number: Int): Member {
        val address = NetworkAddress("10.0.${number / SUBNET}.${number % SUBNET + 1}", PORT)
        val router = RouterId("router-%03d".format(number))
        val domain = number % domains.size
        val region = Region("region-${domain % REGIONS}")
        return Member(router, Incarnation(1), MemberState.ALIVE, region, domains[domain], address, address, address)
    }

    private fun server(number: Int): BackendServer {
        val pool = pools[number % pools.size]
        val address = NetworkAddress("10.9.${number / SUBNET}.${number % SUBNET + 1}", PORT)
        val version = ModelVersion("${pool.name}@1")
        val domain = domains[number % domains.size]
        return BackendServer(ServerId("server-$number"), pool, address, domain, SLOTS, modelVersions = setOf(version))
    }

    companion object {
        /** Slots of one server with four accelerators. */
        const val SLOTS: Int = 32
        const val INITIAL_COST: Double = 456.0
        private const val REGIONS = 2
        private const val SHARES = 4
        private const val SUBNET = 250
        private const val PORT = 7_000
    }
}
