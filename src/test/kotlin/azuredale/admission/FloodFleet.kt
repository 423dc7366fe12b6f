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
 * @property factor factor of the team's load in a second.
 */
internal class FloodTeam(
    name: String,
    val tokensPerSecond: Double,
    val requestTokens: Int,
    val retries: Int = 1,
    val factor: (second: Int) -> Double = { 1.0 },
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
 * What goes wrong in a [FloodFleet].
 *
 * @property slowness how many times longer the servers take in a second. Routers learn it from first events only.
 * @property readsPerSecond requests that a router can read in a second, beyond which it refuses them unread.
 */
internal class FloodConditions(
    val slowness: ((second: Double) -> Double)? = null,
    val readsPerSecond: (router: Int) -> Double = { Double.POSITIVE_INFINITY },
)

/** Routers that admit the requests of teams to shared servers, which read prompts in order of arrival. */
internal class FloodFleet(
    routers: Int,
    private val servers: Int,
    private val teams: List<FloodTeam>,
    private val conditions: FloodConditions = FloodConditions(),
    seed: Int = 1,
) {
    private class Return(
        val at: Timestamp,
        val team: FloodTeam,
        val retriesLeft: Int,
        val isFirst: Boolean,
    )

    private class Reading(
        val endsAt: Timestamp,
        val node: Int,
        val server: Int,
        val load: ServerLoad,
        val tokensAhead: Double,
        val team: FloodTeam,
        val arrivedAt: Timestamp,
        val charge: ShareCharge?,
    )

    val fleet = SimulatedExchange(routers, domains = 4)
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
    private val unusedReads = DoubleArray(routers)

    init {
        fleet.run(START_MILLISECONDS)
    }

    /** Whole seconds since the fleet was created. */
    val second: Int get() = fleet.now.secondsSince(start).toInt()

    /** Runs the fleet for [milliseconds]. */
    fun run(milliseconds: Int) {
        repeat(milliseconds) {
            unusedReads.indices.forEach { unusedReads[it] = minOf(unusedReads[it] + reads(it), MAXIMUM_UNUSED_READS) }
            teams.forEach { team ->
                val rate = team.tokensPerSecond * team.factor(second) / team.requestTokens
                if (random.nextDouble() < rate / MILLISECONDS) {
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

    private fun promptOf(team: FloodTeam) =
        PromptShape(listOf(PromptPart("own", team.requestTokens)), team.requestTokens, 0)

    private fun reads(router: Int): Double = conditions.readsPerSecond(router) / MILLISECONDS

    private fun offer(team: FloodTeam, retriesLeft: Int, isFirst: Boolean) {
        val now = fleet.now
        team.asked.merge(second, team.requestTokens.toLong(), Long::plus)
        val index = team.router(random)
        val refusedUntil =
            if (isRead(
                    index,
                    team,
                )
            ) {
                decide(index, team, isFirst)
            } else {
                now.plusMilliseconds(RETURN_MILLISECONDS)
            }
        if (refusedUntil == null) return
        team.waits += second
        if (retriesLeft > 0) returns += Return(refusedUntil, team, retriesLeft - 1, isFirst = false)
    }

    private fun isRead(router: Int, team: FloodTeam): Boolean {
        if (unusedReads[router] < 1) {
            admissions[router].recordRefused(promptOf(team), team.id, fleet.now)
            return false
        }
        unusedReads[router]--
        return true
    }

    private fun decide(index: Int, team: FloodTeam, isFirst: Boolean): Timestamp? {
        val now = fleet.now
        val node = fleet.nodes[index]
        val uncached = team.requestTokens / 2
        val predictions = List(servers) { predict(node, it, uncached) }
        val server = predictions.indices.minBy { predictions[it] + random.nextInt(uncached) / TOKENS_PER_MILLISECOND }
        val prediction = LatencyPrediction(predictions[server], predictions.average())
        val prompt = promptOf(team)
        val onTimeUntil = now.plusMilliseconds(if (isFirst) TARGET_MILLISECONDS else TARGET_MILLISECONDS / 2)
        val request = AdmissionRequest(team.id, TARGET_MILLISECONDS, onTimeUntil, now.plusMilliseconds(4_000))
        val charge = admissions[index].charge(prompt, team.id)
        val refusal = admissions[index].decide(prompt, request, prediction, now, charge)
        if (refusal == null) read(index, server, ServerLoad(uncached, 1), team, charge)
        return refusal?.let { it.retryAt ?: now }
    }

    private fun predict(node: SimulatedExchange.Node, server: Int, uncached: Int): Double {
        val entry = fleet.servers[server]
        val load = node.statistics.loads.load(entry.id, entry.idHash, fleet.now)
        return if (conditions.slowness == null) {
            (load.waitingTokens + uncached) / TOKENS_PER_MILLISECOND
        } else {
            node.statistics.predictMilliseconds(entry, uncached, load)
        }
    }

    private fun read(router: Int, server: Int, load: ServerLoad, team: FloodTeam, charge: ShareCharge?) {
        val now = fleet.now
        val node = fleet.nodes[router]
        val entry = fleet.servers[server]
        val beginsAt = maxOf(freeAt[server], now)
        val slowness = conditions.slowness?.invoke(beginsAt.microsecondsSince(start) / MICROSECONDS) ?: 1.0
        val endsAt = beginsAt.plusMicroseconds((load.waitingTokens * MICROSECONDS_PER_TOKEN * slowness).toLong())
        freeAt[server] = endsAt
        val ahead = node.statistics.remainingTokens(node.statistics.loads.load(entry.id, entry.idHash, now))
        node.statistics.loads.add(entry.id, load)
        readings += Reading(endsAt, router, server, load, ahead, team, now, charge)
    }

    private fun begin(reading: Reading) {
        val entry = fleet.servers[reading.server]
        val statistics = fleet.nodes[reading.node].statistics
        statistics.loads.add(entry.id, ServerLoad(-reading.load.waitingTokens, -reading.load.running))
        reading.charge?.begun(fleet.now)
        val milliseconds = reading.endsAt.microsecondsSince(reading.arrivedAt) / MILLISECONDS
        statistics.recordFirstEvent(entry, reading.tokensAhead + reading.load.waitingTokens, milliseconds, fleet.now)
        reading.team.begun.merge(second, reading.team.requestTokens.toLong(), Long::plus)
        if (milliseconds > TARGET_MILLISECONDS) reading.team.waits += second
    }

    /** Part of what all teams asked for that began, retries included. */
    fun servedFraction(from: Int): Double = teams.sumOf { it.begunIn(from, second) }.toDouble() /
        teams.sumOf { team -> (from until second).sumOf { team.asked[it] ?: 0 } }

    /** Part of the servers' capacity used between the seconds [from] and [until]. */
    fun utilization(from: Int, until: Int): Double {
        val speed = (from until until).sumOf { 1.0 / (conditions.slowness?.invoke(it + 0.5) ?: 1.0) }
        val capacity = servers * TOKENS_PER_MILLISECOND * 2 * MILLISECONDS * speed
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
        const val MICROSECONDS = 1_000_000.0
        const val RETURN_MILLISECONDS = 500L
        const val MAXIMUM_UNUSED_READS = 5.0
        const val WINDOW_SECONDS = 6
        const val ALLOWED_REQUESTS = 3

        /** Reading speed of one server; half of each prompt is cached. */
        const val TOKENS_PER_MILLISECOND = 100.0
        const val MICROSECONDS_PER_TOKEN = 10.0
    }
}
