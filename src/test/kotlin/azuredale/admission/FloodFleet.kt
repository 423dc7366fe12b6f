package azuredale.admission

import azuredale.engine.ServerLoad
import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.identity.TeamId
import azuredale.peers.SimulatedExchange
import azuredale.time.Timestamp
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * A team that sends requests of [requestTokens] at [tokensPerSecond], each to a router that [router] chooses.
 *
 * @property retries how often a refused request returns.
 * @property factor of the usual rate by the second of the fleet.
 */
internal class FloodTeam(
    name: String,
    val tokensPerSecond: Double,
    val requestTokens: Int,
    val retries: Int = 1,
    val factor: (Int) -> Double = { 1.0 },
    val router: (Random) -> Int,
) {
    val id = TeamId(name)
    val asked = HashMap<Int, Long>()
    val begun = HashMap<Int, Long>()
    val waits = HashSet<Int>()

    /** Tokens begun within the seconds [from] until [until]. */
    fun begunIn(from: Int, until: Int): Long = (from until until).sumOf { begun[it] ?: 0 }
}

/**
 * Routers that admit the requests of teams to shared servers, which read prompts in order of arrival.
 *
 * @param running how many of the [servers] run, by the second of the fleet; what others are reading is lost.
 * @param noticeableMilliseconds change of the wait at a server that routers report early, null for regular reports only.
 */
internal class FloodFleet(
    routers: Int,
    private val servers: Int,
    private val teams: List<FloodTeam>,
    seed: Int = 1,
    private val running: (Int) -> Int = { servers },
    noticeableMilliseconds: Double? = null,
) {
    private class Return(
        val at: Timestamp,
        val team: FloodTeam,
        val retriesLeft: Int,
        val isFirst: Boolean,
    )

    private class Reading(
        val endsAt: Timestamp,
        val node: SimulatedExchange.Node,
        val server: Int,
        val load: ServerLoad,
        val team: FloodTeam,
        val arrivedAt: Timestamp,
    )

    val fleet = SimulatedExchange(routers, domains = 4, noticeableMilliseconds)
    private val random = Random(seed)
    private val shares = fleet.nodes.map { FairShares(it.usage) }
    private val admissions =
        fleet.nodes.mapIndexed { index, node ->
            PromptAdmission(node.usage, LoadShedder(shares[index], random::nextDouble))
        }
    private val freeAt = Array(servers) { fleet.now }
    private val returns = PriorityQueue<Return>(compareBy { it.at })
    private val readings = PriorityQueue<Reading>(compareBy { it.endsAt })
    private val start = fleet.now

    init {
        fleet.run(START_MILLISECONDS)
    }

    /** Whole seconds since the fleet was created. */
    val second: Int get() = fleet.now.secondsSince(start).toInt()

    /** Runs the fleet for [milliseconds]. */
    fun run(milliseconds: Int) {
        repeat(milliseconds) {
            teams.forEach { team ->
                val tokensPerSecond = team.tokensPerSecond * team.factor(second)
                if (random.nextDouble() < tokensPerSecond / team.requestTokens / MILLISECONDS) {
                    offer(team, team.retries, isFirst = true)
                }
            }
            while (returns.isNotEmpty() && returns.first().at <= fleet.now) {
                returns.remove().let { offer(it.team, it.retriesLeft, isFirst = false) }
            }
            while (readings.isNotEmpty() && readings.first().endsAt <= fleet.now) begin(readings.remove())
            fleet.run(1)
        }
    }

    private fun offer(team: FloodTeam, retriesLeft: Int, isFirst: Boolean) {
        val now = fleet.now
        team.asked.merge(second, team.requestTokens.toLong(), Long::plus)
        val index = team.router(random)
        val node = fleet.nodes[index]
        val server =
            (0 until running(second)).minBy { index ->
                val entry = fleet.servers[index]
                node.statistics.loads
                    .load(entry.id, entry.idHash, now)
                    .waitingTokens + random.nextInt(team.requestTokens)
            }
        val entry = fleet.servers[server]
        val load = node.statistics.loads.load(entry.id, entry.idHash, now)
        val uncached = team.requestTokens / 2
        val waiting =
            fleet.servers.take(running(second)).sumOf {
                node.statistics.loads
                    .load(it.id, it.idHash, now)
                    .waitingTokens
            }
        val prediction =
            LatencyPrediction(
                milliseconds = (load.waitingTokens + uncached) / TOKENS_PER_MILLISECOND,
                meanMilliseconds = (waiting / running(second) + uncached) / TOKENS_PER_MILLISECOND,
            )
        val prompt = PromptShape(listOf(PromptPart("own", team.requestTokens)), team.requestTokens, 0)
        val onTimeUntil = now.plusMilliseconds(if (isFirst) TARGET_MILLISECONDS else TARGET_MILLISECONDS / 2)
        val request = AdmissionRequest(team.id, TARGET_MILLISECONDS, onTimeUntil, now.plusMilliseconds(4_000))
        val refusal = admissions[index].decide(prompt, request, prediction, now)
        if (refusal == null) {
            read(node, server, ServerLoad(uncached, 1), team, now)
            return
        }
        team.waits += second
        if (retriesLeft > 0) returns += Return(refusal.retryAt ?: now, team, retriesLeft - 1, isFirst = false)
    }

    private fun read(node: SimulatedExchange.Node, server: Int, load: ServerLoad, team: FloodTeam, now: Timestamp) {
        val endsAt = maxOf(freeAt[server], now).plusMicroseconds((load.waitingTokens * MICROSECONDS_PER_TOKEN).toLong())
        freeAt[server] = endsAt
        node.statistics.loads.add(fleet.servers[server].id, load)
        readings += Reading(endsAt, node, server, load, team, now)
    }

    private fun begin(reading: Reading) {
        val entry = fleet.servers[reading.server]
        reading.node.statistics.loads
            .add(entry.id, ServerLoad(-reading.load.waitingTokens, -reading.load.running))
        if (reading.server >= running(second)) {
            freeAt[reading.server] = fleet.now
            reading.team.waits += second
            return
        }
        reading.team.begun.merge(second, reading.team.requestTokens.toLong(), Long::plus)
        if (reading.endsAt > reading.arrivedAt.plusMilliseconds(TARGET_MILLISECONDS)) reading.team.waits += second
    }

    /** Part of the servers' capacity used between the seconds [from] and [until]. */
    fun utilization(from: Int, until: Int): Double {
        val capacity = servers * TOKENS_PER_MILLISECOND * 2 * MILLISECONDS * (until - from)
        return teams.sumOf { it.begunIn(from, until) } / capacity
    }

    /**
     * The team with the smallest part of what it may expect in any six seconds from [from] on, as users count it: a team
     * that waits in each second expects, second by second, what it asked or what the best served team got, less three
     * requests.
     */
    fun worstPart(from: Int): Pair<Double, String> {
        var worst = 1.0 to "none"
        for (begin in from..second - WINDOW_SECONDS) {
            val seconds = begin until begin + WINDOW_SECONDS
            val best = teams.maxBy { it.begunIn(begin, begin + WINDOW_SECONDS) }
            teams.filter { team -> seconds.all { it in team.waits } }.forEach { team ->
                val expected = seconds.sumOf { minOf(team.asked[it] ?: 0, best.begun[it] ?: 0) }
                val got = team.begunIn(begin, begin + WINDOW_SECONDS) + ALLOWED_REQUESTS * team.requestTokens
                val part = got.toDouble() / expected.coerceAtLeast(1)
                if (part < worst.first) worst = part to "${team.id} of ${best.id} from second $begin"
            }
        }
        return worst
    }

    private companion object {
        const val START_MILLISECONDS = 3_000L
        const val TARGET_MILLISECONDS = 300L
        const val MILLISECONDS = 1_000.0
        const val WINDOW_SECONDS = 6
        const val ALLOWED_REQUESTS = 3

        /** Reading speed of one server; half of each prompt is cached. */
        const val TOKENS_PER_MILLISECOND = 100.0
        const val MICROSECONDS_PER_TOKEN = 10.0
    }
}
