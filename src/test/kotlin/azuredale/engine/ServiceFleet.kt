package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.time.Timestamp
import kotlin.math.ln
import kotlin.random.Random

/** Chooses the server of a request at one router. */
internal typealias ServiceChoice = (ServicePlacement, ServerStatistics, SelectionRequest, Timestamp) -> BackendEntry

/**
 * Sixteen routers in three failure domains, whose reports take 300 ms, and one server of 6 slots in each of these.
 *
 * @param slowness how many times longer a request takes at a server at a time.
 */
internal class ServiceFleet(
    private val choose: ServiceChoice,
    seed: Int,
    private val slowness: (server: Int, milliseconds: Long) -> Double = { _, _ -> 1.0 },
) {
    private class Request(
        val router: Int,
        val server: Int,
        val sentAt: Long,
        val ahead: Int,
        var remaining: Double,
    )

    private val random = Random(seed)
    private val routers =
        List(ROUTERS) { ServerStatistics({ ROUTERS }, Random(seed + it)::nextDouble, { _, _ -> }, { DELAY }) { 0 } }
    private val requests = List(SERVERS.size) { ArrayList<Request>() }
    private val reports = ArrayDeque<Triple<Long, Int, Map<Int, ServerLoad>>>()
    private var milliseconds = 0L

    /** Milliseconds from sending to the response. */
    val responses = ArrayList<Long>()

    /** Runs [seconds] with [requestsPerSecond], of which [share] come to routers of the first failure domain. */
    fun run(seconds: Int, requestsPerSecond: Double, share: Double) = apply {
        var nextAt = 0.0
        while (milliseconds < seconds * 1_000L) {
            while (nextAt <= milliseconds) {
                send(share)
                nextAt -= ln(1 - random.nextDouble()) * 1_000 / requestsPerSecond
            }
            SERVERS.indices.forEach(::work)
            if (milliseconds % REPORT_PERIOD == 0L) report()
            milliseconds++
        }
    }

    /** Fraction of the requests that were answered late. */
    fun lateFraction(): Double = responses.count { it > TARGET_MILLISECONDS } / responses.size.toDouble()

    private fun send(share: Double) {
        val domain = if (random.nextDouble() < share) 0 else random.nextInt(1, SERVERS.size)
        val router = random.nextInt(ROUTERS / SERVERS.size) * SERVERS.size + domain
        val statistics = routers[router]
        val now = at(milliseconds)
        val chosen = choose(ServicePlacement(statistics), statistics, request(domain, now), now)
        val ahead = statistics.loads.load(chosen.id, chosen.idHash, now).running
        statistics.loads.add(chosen.id, ServerLoad(running = 1))
        val server = SERVERS.indexOf(chosen)
        requests[server] +=
            Request(router, server, milliseconds, ahead, WORK_MILLISECONDS * (0.5 + random.nextDouble()))
    }

    private fun work(server: Int) {
        val done = 1 / slowness(server, milliseconds)
        val ended = requests[server].take(SLOTS).filter { it.remaining <= done }
        requests[server].take(SLOTS).forEach { it.remaining -= done }
        requests[server].removeAll(ended)
        ended.forEach {
            val took = milliseconds - it.sentAt
            val statistics = routers[it.router]
            statistics.loads.add(SERVERS[server].id, ServerLoad(running = -1))
            if (it.ahead < SLOTS) {
                statistics.serviceTimes(POOL).record(SERVERS[server].id, took.toDouble(), at(milliseconds))
            }
            if (it.sentAt > WARM_UP) responses += took
        }
    }

    private fun report() {
        routers.forEachIndexed { index, it ->
            val loads =
                it.loads.localLoads.entries
                    .associate { (id, load) -> id.name.hashCode() to load }
            reports += Triple(milliseconds + DELAY, index, loads)
        }
        while (reports.isNotEmpty() && reports.first().first <= milliseconds) {
            val (_, from, loads) = reports.removeFirst()
            val now = at(milliseconds)
            routers.filterIndexed { index, _ -> index != from }.forEach {
                it.loads.updatePeer(RouterId("router-$from"), loads, now.plusMilliseconds(1_000), now)
            }
        }
    }

    companion object {
        val POOL = PoolId("service")
        val SERVERS =
            List(3) {
                BackendEntry(
                    id = ServerId("server-$it"),
                    pool = POOL,
                    address = NetworkAddress("10.0.0.$it", 80),
                    failureDomain = FailureDomain("domain-$it"),
                    slots = 6,
                    state = BackendState.READY,
                )
            }
        private const val SLOTS = 6
        private const val ROUTERS = 15
        private const val DELAY = 300L
        private const val REPORT_PERIOD = 200L
        private const val WORK_MILLISECONDS = 20.0
        private const val TARGET_MILLISECONDS = 120L
        private const val WARM_UP = 2_000L

        fun at(milliseconds: Long): Timestamp = Timestamp.ofMilliseconds(1_000_000 + milliseconds)

        fun request(domain: Int, now: Timestamp) = SelectionRequest(
            pool = POOL,
            team = null,
            prompt = null,
            origin = FailureDomain("domain-$domain"),
            onTimeUntil = now.plusMilliseconds(120),
            deadline = now.plusMilliseconds(600),
        )
    }
}
