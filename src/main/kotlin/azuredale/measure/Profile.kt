package azuredale.measure

import azuredale.configuration.BackendServer
import azuredale.configuration.Document
import azuredale.configuration.Pool
import azuredale.configuration.PoolKind
import azuredale.configuration.Team
import azuredale.identity.BatchId
import azuredale.identity.FailureDomain
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import kotlin.math.pow

/** The load pattern of a team. */
internal enum class TeamRole {
    /** Always requests more than it can get. */
    BACKLOGGED,

    /** Requests more than it can get for a few seconds, then nothing for a few seconds. */
    BURSTING,

    /** Requests less than its share. */
    LIGHT,
}

/** A team of a profile. */
internal data class TeamPlan(
    val id: TeamId,
    val share: Double,
    val role: TeamRole,
)

/** Speed of a simulated server and the number of requests it runs at once, both unknown to the routers. */
internal data class ServerPlan(
    val speed: Double,
    val concurrency: Int,
)

/** A pool of a profile; the speeds of its servers differ by a factor of four. */
internal data class PoolPlan(
    val id: PoolId,
    val kind: PoolKind,
    val servers: Int,
    val concurrency: Int,
    val initialCost: Double,
    val minimumUtilisation: Double,
)

/**
 * A fleet and its load at one of the sizes of section 1.4 of the design page; delays in microseconds.
 *
 * @property shards number of shards of each pool.
 * @property scale factor on servers and load, in proportion to the routers.
 */
internal class Profile(
    val name: String,
    val routers: Int,
    val delayBetweenDomains: Long,
    val clientDelay: Long,
    val teams: List<TeamPlan>,
    pools: List<PoolPlan>,
    val shards: Int,
) {
    val scale: Double = routers.toDouble() / DEFAULT_ROUTERS
    val pools: List<PoolPlan> = pools.map { it.copy(servers = (it.servers * scale).toInt()) }
    val servers: Map<ServerId, ServerPlan> = this.pools.flatMap(::plansOf).toMap()
    val document: Document = buildDocument()

    /** The light team with the smallest share; [teams] are in descending order of share. */
    val smallestTeam: TeamId = teams.last { it.role == TeamRole.LIGHT }.id
    val lightTeams: Set<TeamId> = teams.filter { it.role == TeamRole.LIGHT }.mapTo(HashSet()) { it.id }

    fun domainOf(index: Int): FailureDomain = FailureDomain("fd-${index % FAILURE_DOMAINS + 1}")

    private fun serverName(pool: PoolPlan, index: Int) = ServerId("${pool.id}-${index + 1}")

    /** Assigns speeds from 1 to [SPEED_RATIO]; the stride spreads them over failure domains and batches. */
    private fun plansOf(pool: PoolPlan) = List(pool.servers) { index ->
        val rank = index * SPEED_STRIDE % pool.servers
        val speed = SPEED_RATIO.pow(rank.toDouble() / (pool.servers - 1).coerceAtLeast(1))
        serverName(pool, index) to ServerPlan(speed, pool.concurrency)
    }

    private fun buildDocument(): Document {
        val servers =
            pools.flatMapIndexed { poolIndex, pool ->
                List(pool.servers) { index ->
                    BackendServer(
                        id = serverName(pool, index),
                        pool = pool.id,
                        address = FleetAddresses.serverAddress(poolIndex, index),
                        failureDomain = domainOf(index),
                        slots = pool.concurrency + LOOK_AHEAD,
                        batch = BatchId(if (index % 4 == 0) "blue" else "green"),
                    )
                }
            }
        return Document(
            failureDomains = List(FAILURE_DOMAINS) { domainOf(it) }.associateWith { Region("south") },
            teams =
                teams.associate {
                    it.id to
                        Team(
                            it.id,
                            it.share,
                            pools.mapTo(LinkedHashSet()) { pool -> pool.id },
                        )
                },
            pools = pools.associate { it.id to Pool(it.id, it.kind, shards, initialCost = it.initialCost) },
            servers = servers.associateBy { it.id },
        )
    }

    companion object {
        const val DEFAULT_ROUTERS: Int = 8
        const val FAILURE_DOMAINS: Int = 3

        /** Slots in the document beyond the concurrency of a server, so that one request can wait inside it. */
        private const val LOOK_AHEAD = 1
        private const val SPEED_RATIO = 4.0

        /** Coprime to every pool size in use, so each rank occurs once. */
        private const val SPEED_STRIDE = 7
        private val PAMPA_SINAL_SHARES = listOf(16.0, 12.0, 6.0, 6.0, 3.0, 3.0, 2.0, 2.0) + List(8) { 1.0 }
        private val HELMSWAY_SHARES = listOf(6.0, 6.0, 4.0) + List(13) { 1.0 }
        private val MODELS = PoolId("models")

        /** Returns the profile [name] with [routers] routers, or null if there is no such profile. */
        fun named(name: String, routers: Int = DEFAULT_ROUTERS, shards: Int = 1): Profile? = when (name) {
            "pampa-sinal" -> pampaSinal(routers, shards)
            "helmsway" -> helmsway(routers, shards)
            else -> null
        }

        val names: List<String> = listOf("pampa-sinal", "helmsway")

        private fun pampaSinal(routers: Int, shards: Int) = Profile(
            name = "pampa-sinal",
            routers = routers,
            shards = shards,
            delayBetweenDomains = 1_200,
            clientDelay = 1_000,
            teams =
                teams(
                    shares = PAMPA_SINAL_SHARES,
                    backlogged = setOf(0, 2, 4, 8),
                    bursting = setOf(3, 5, 9, 10),
                ),
            pools =
                listOf(
                    PoolPlan(
                        MODELS,
                        PoolKind.MODEL,
                        servers = 13,
                        concurrency = 8,
                        initialCost = 100.0,
                        minimumUtilisation = 0.97,
                    ),
                    PoolPlan(
                        PoolId("herd"),
                        PoolKind.SERVICE,
                        3,
                        concurrency = 4,
                        initialCost = 1.0,
                        minimumUtilisation = 0.97,
                    ),
                ),
        )

        private fun helmsway(routers: Int, shards: Int) = Profile(
            name = "helmsway",
            routers = routers,
            shards = shards,
            delayBetweenDomains = 1_000,
            clientDelay = 4_000,
            teams =
                teams(
                    shares = HELMSWAY_SHARES,
                    backlogged = setOf(0, 2, 3),
                    bursting = setOf(1, 4, 5, 6),
                ),
            pools =
                listOf(
                    PoolPlan(
                        MODELS,
                        PoolKind.MODEL,
                        8,
                        concurrency = 8,
                        initialCost = 100.0,
                        minimumUtilisation = 0.98,
                    ),
                    PoolPlan(
                        PoolId("lockers"),
                        PoolKind.SERVICE,
                        3,
                        concurrency = 4,
                        initialCost = 1.0,
                        minimumUtilisation = 0.98,
                    ),
                ),
        )

        private fun teams(shares: List<Double>, backlogged: Set<Int>, bursting: Set<Int>) =
            shares.mapIndexed { index, share ->
                val role =
                    when (index) {
                        in backlogged -> TeamRole.BACKLOGGED
                        in bursting -> TeamRole.BURSTING
                        else -> TeamRole.LIGHT
                    }
                TeamPlan(TeamId("team-%02d".format(index + 1)), share, role)
            }
    }
}
