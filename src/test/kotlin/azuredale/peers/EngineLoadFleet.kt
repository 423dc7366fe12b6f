package azuredale.peers

import azuredale.engine.EnginePlacement
import azuredale.engine.SelectionRequest
import azuredale.engine.ServerLoad
import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.identity.PoolId
import azuredale.time.Timestamp
import kotlin.math.ln
import kotlin.random.Random

/** Routers in three failure domains that send prompts to fakes of engines, which read one prompt after the other. */
internal class EngineLoadFleet(
    routers: Int,
    noticeable: Double?,
    seed: Int,
) {
    private class Prompt(
        val router: Int,
        val predictedTokens: Int,
        val sentAt: Timestamp,
        var left: Double,
    )

    val exchange = SimulatedExchange(routers, domains = 3, noticeable)
    val random = Random(seed)
    private val queues = exchange.servers.map { ArrayDeque<Prompt>() }
    private val kept = exchange.servers.map { LinkedHashSet<Any>() }
    private val placements = exchange.nodes.map { EnginePlacement(it.statistics) }

    /** Router of each prompt with a first event, and whether that came late. */
    val answers = ArrayList<Pair<Int, Boolean>>()

    /** Runs for [milliseconds] with [rate] prompts a second, each at the router that [router] draws. */
    fun run(milliseconds: Int, rate: Double, router: () -> Int) = apply {
        var nextAt = 0.0
        repeat(milliseconds) { step ->
            while (nextAt <= step) {
                send(router())
                nextAt -= ln(1 - random.nextDouble()) * 1_000 / rate
            }
            queues.indices.forEach(::work)
            exchange.run(1)
        }
    }

    /** Fraction of the prompts at the [routers] whose first event was late. */
    fun lateFraction(routers: Set<Int>) = answers.filter { it.first in routers }.run {
        count { it.second } /
            size.toDouble()
    }

    /** Bytes that a router sent on the mean. */
    fun meanBytes() = exchange.nodes.sumOf { it.bytes } / exchange.nodes.size

    private fun send(router: Int) {
        val node = exchange.nodes[router]
        if (node in exchange.cut) return
        val now = exchange.now
        val session = PromptPart("session-${random.nextInt(SESSIONS)}", SHARED_TOKENS)
        val own = PromptPart("own-${random.nextLong()}", OWN_TOKENS / 2 + random.nextInt(OWN_TOKENS))
        val prompt = PromptShape(listOf(session, own), session.tokens + own.tokens, 50)
        val late = now.plusMilliseconds(TARGET_MILLISECONDS)
        val request = SelectionRequest(PoolId("pool"), null, prompt, node.settings.failureDomain, late, late)
        val chosen = checkNotNull(placements[router].select(request, prompt, exchange.servers, now))
        val server = exchange.servers.indexOf(chosen.server)
        node.statistics.loads.add(chosen.server.id, ServerLoad(waitingTokens = chosen.uncachedTokens))
        node.statistics.cache.record(chosen.server.id, listOf(session))
        node.exchange.promptSent(chosen.server.idHash, listOf(session), now)
        val tokens = if (kept[server].remove(session.id)) own.tokens else prompt.promptTokens
        kept[server] += session.id
        if (kept[server].size > KEPT_SESSIONS) kept[server].remove(kept[server].first())
        queues[server] += Prompt(router, chosen.uncachedTokens, now, tokens.toDouble())
    }

    private fun work(server: Int) {
        val prompt = queues[server].firstOrNull() ?: return
        prompt.left -= TOKENS_PER_MILLISECOND
        if (prompt.left > 0) return
        queues[server].removeFirst()
        val load = ServerLoad(waitingTokens = -prompt.predictedTokens)
        exchange.nodes[prompt.router]
            .statistics.loads
            .add(exchange.servers[server].id, load)
        val isLate = exchange.now > prompt.sentAt.plusMilliseconds(TARGET_MILLISECONDS)
        answers += prompt.router to isLate
    }

    companion object {
        const val TARGET_MILLISECONDS = 300L

        const val SESSIONS = 300
        const val SHARED_TOKENS = 6_300
        const val OWN_TOKENS = 2_900

        /** What the memory of a server keeps beside running requests. */
        const val KEPT_SESSIONS = 12

        /** The usual speed of an engine. */
        const val TOKENS_PER_MILLISECOND = 1 / 0.012
    }
}
