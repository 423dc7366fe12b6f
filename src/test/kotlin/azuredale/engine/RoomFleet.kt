package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.engine.MemoryPrompts.CAPACITY
import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.time.Timestamp
import kotlin.math.ln
import kotlin.random.Random

/**
 * Routers that send long prompts and chats at random, twice as many as the servers hold, and report to each other every
 * 40 ms.
 *
 * @param reportAge the highest age of a report in milliseconds, just before the next one arrives.
 * @param sessions number of prompt parts of 300 tokens that requests share, each of them preferred at other servers.
 */
internal class RoomFleet(
    private val routers: Int,
    private val servers: Int,
    private val reportAge: Int,
    seed: Int,
    private val sessions: Int = 1_000,
) {
    private class Report(
        val arrivesAt: Int,
        val from: Int,
        val asOf: Timestamp,
        val loads: Map<Int, ServerLoad>,
    )

    private class Running(
        val router: Int,
        val prompt: RunningPrompt,
    )

    private val random = Random(seed)
    private val nodes = List(routers) { MemoryRouter(servers, routers, random = random::nextDouble) }
    private val reports = ArrayDeque<Report>()
    private val ends = HashMap<Int, MutableList<Running>>()
    private var used = 0.0
    private var samples = 0
    var sent = 0
        private set
    var refused = 0
        private set
    var overfilled = 0
        private set
    var highest = 0L
        private set

    /** Part of the servers' memory that requests took on the mean after the first seconds. */
    val utilization: Double get() = used / samples

    fun run(milliseconds: Int) = repeat(milliseconds) { step ->
        nodes.forEach { it.now = it.now.plusMilliseconds(1) }
        if (step % PERIOD == 0) {
            nodes.forEachIndexed { index, node ->
                reports += Report(step + reportAge - PERIOD, index, node.now, node.report())
            }
        }
        while (reports.isNotEmpty() && reports.first().arrivesAt <= step) deliver(reports.removeFirst())
        ends.remove(step)?.forEach { end(it) }
        var offered = OVERLOAD * servers * REQUESTS_A_SERVER / RUN_MILLISECONDS
        while (random.nextDouble() < offered) {
            offer(step)
            offered--
        }
        if (step > WARM_UP && step % PERIOD == 0) {
            samples++
            used += nodes[0].servers.sumOf { total(it) }.toDouble() / (CAPACITY * servers)
        }
    }

    private fun deliver(report: Report) = nodes.forEachIndexed { index, node ->
        if (index != report.from) node.hear(report.loads, "router-${report.from}", report.asOf)
    }

    private fun offer(step: Int) {
        val router = random.nextInt(routers)
        val request = nodes[router].send(if (random.nextBoolean()) prompt(9_200, 50) else prompt(700, 300))
        if (request == null) {
            if (step > WARM_UP) refused++
            return
        }
        nodes[router].statistics.loads.add(request.server.id, ServerLoad(running = 1))
        val run = (-ln(1 - random.nextDouble()) * RUN_MILLISECONDS).toInt() + 1
        ends.getOrPut(step + run) { ArrayList() } += Running(router, request)
        if (step <= WARM_UP) return
        sent++
        val total = total(request.server)
        highest = maxOf(highest, total)
        if (total > CAPACITY) overfilled++
    }

    private fun prompt(tokens: Int, output: Int): PromptShape {
        val session = PromptPart("session-${random.nextInt(sessions)}", SESSION_TOKENS)
        return PromptShape(listOf(session, PromptPart("own", tokens - SESSION_TOKENS)), tokens, output)
    }

    private fun end(running: Running) {
        val node = nodes[running.router]
        node.end(running.prompt)
        node.statistics.loads.add(running.prompt.server.id, ServerLoad(running = -1))
    }

    private fun total(server: BackendEntry) = nodes.sumOf {
        it.statistics.loads
            .localLoad(server.id)
            .committedTokens
            .toLong()
    }

    private companion object {
        const val PERIOD = 40
        const val WARM_UP = 5_000
        const val RUN_MILLISECONDS = 700.0
        const val SESSION_TOKENS = 300
        const val OVERLOAD = 2.0

        /** Requests of the mean size that fill a server. */
        const val REQUESTS_A_SERVER = CAPACITY / 5_125.0
    }
}
