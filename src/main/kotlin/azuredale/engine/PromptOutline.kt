package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.identity.ServerId
import azuredale.sharing.StableHash
import azuredale.time.Timestamp
import kotlin.math.exp

/**
 * What the placement of a prompt needs of it, the same for every server.
 *
 * @param candidates the servers that the prompt may be sent to.
 */
internal class PromptOutline(
    val prompt: PromptShape,
    candidates: List<BackendEntry>,
    private val statistics: ServerStatistics,
    private val now: Timestamp,
) {
    /** The parts that other requests may share. */
    val shared: List<PromptPart> = prompt.sharedParts

    /** Tokens of [shared]. */
    val sharedTokens: Int = shared.sumOf { it.tokens }

    /** Tokens that only this request has. */
    val ownTokens: Int = (prompt.promptTokens - sharedTokens).coerceAtLeast(0)

    /** Tokens of the expected answer. */
    val answerTokens: Int = prompt.expectedOutputTokens ?: (prompt.maximumOutputTokens / 2)

    /** The deepest shared part, which identifies a session; empty if the prompt shares nothing. */
    val session: String = shared.lastOrNull()?.id.orEmpty()

    /** Servers that keep the deepest shared part. */
    val holders: Int = statistics.cache.holders(session)
    private val ratePerSecond = statistics.demand.ratePerSecond(session, now)

    /** Tokens of the shared parts that no server keeps; some server has to read them. */
    val unheldTokens: Int = shared.takeLastWhile { statistics.cache.holders(it.id) == 0 }.sumOf { it.tokens }

    /** Tokens that another router is expected to have read elsewhere before it has the report, for all they delay. */
    private val scatteredTokens = if (unheldTokens == 0) 0.0 else scatteredTokens()

    /** The server that all routers prefer for parts that no server keeps; null if all parts are kept somewhere. */
    val home: ServerId? =
        if (unheldTokens == 0) null else candidates.minByOrNull { StableHash.fraction(session, it.id.name) }?.id

    /** Tokens of shared parts that a server reads which has [uncachedTokens] of the prompt to read. */
    fun repeatedTokens(uncachedTokens: Int): Int = (uncachedTokens - ownTokens).coerceAtLeast(0)

    /** What one more holder of the session saves, in milliseconds, at servers that read at [millisecondsPerToken]. */
    fun valueOfAnotherHolder(millisecondsPerToken: Double): Double =
        PrefixWeighing.valueOfAnotherHolder(ratePerSecond, ownTokens * millisecondsPerToken, holders)

    /**
     * What it costs to read the parts that no server keeps elsewhere than at [home], in milliseconds: another router,
     * which has no report of it yet, may send them there and have them read twice.
     */
    fun scatterMilliseconds(millisecondsPerToken: Double): Double = scatteredTokens * millisecondsPerToken

    /** Part of the prefill of [id] that its loss at a server costs: if it is asked for again, and kept nowhere else. */
    fun lossOf(id: String): Double =
        statistics.demand.probabilityOfReuse(id, now) / statistics.cache.holders(id).coerceAtLeast(1)

    private fun scatteredTokens(): Double {
        val requests = maxOf(ratePerSecond, USUAL_RATE) * statistics.reportDelaySeconds()
        return unheldTokens * PrefixWeighing.LEAST_BEHIND * (1 - exp(-requests))
    }

    private companion object {
        /** Requests per second with the parts of a session that begins: its callers send the next one soon. */
        const val USUAL_RATE = 1.0
    }
}
