package azuredale.gateway

import azuredale.engine.PassedOver
import azuredale.engine.PrefixOutcomes
import azuredale.logging.EventLog
import azuredale.time.Timestamp

/** Logs and exposes how far the predictions on kept prompt parts hold: a line each 10 s while prompts share parts. */
internal class PrefixLog(
    private val outcomes: PrefixOutcomes,
    private val log: EventLog,
) {
    private var nextAt = Timestamp.DISTANT_PAST
    private var predicted = 0L
    private var found = 0L
    private var undecided = 0L
    private val passedOver = LongArray(PassedOver.entries.size)

    /** Registers the gauges, which count since the start of the router. */
    fun expose(metrics: GatewayMetrics) {
        metrics.gauge("prefix.tokens.predicted") { outcomes.predictedTokens.toDouble() }
        metrics.gauge("prefix.tokens.found") { outcomes.foundTokens.toDouble() }
        metrics.gauge("prefix.tokens.undecided") { outcomes.undecidedTokens.toDouble() }
        metrics.gauge("prefix.prediction.error.milliseconds") { outcomes.errorMilliseconds }
        PassedOver.entries.forEach { reason ->
            metrics.gauge("prefix.passed.over.${reason.name.lowercase()}") { outcomes.passedOver(reason).toDouble() }
        }
    }

    /** Writes the line if it is due and anything was predicted since the last one. */
    fun tick(now: Timestamp) {
        if (now < nextAt) return
        nextAt = now.plusMilliseconds(PERIOD_MILLISECONDS)
        if (outcomes.predictedTokens == predicted) return
        log.write(
            GatewayLogEvent.PREFIXES_WEIGHED,
            "predicted" to outcomes.predictedTokens - predicted,
            "found" to outcomes.foundTokens - found,
            "undecided" to outcomes.undecidedTokens - undecided,
            "error" to outcomes.errorMilliseconds.toLong(),
            "wait" to countSince(PassedOver.WAIT),
            "memory" to countSince(PassedOver.MEMORY),
            "unavailable" to countSince(PassedOver.UNAVAILABLE),
        )
        predicted = outcomes.predictedTokens
        found = outcomes.foundTokens
        undecided = outcomes.undecidedTokens
        PassedOver.entries.forEach { passedOver[it.ordinal] = outcomes.passedOver(it) }
    }

    private fun countSince(reason: PassedOver) = outcomes.passedOver(reason) - passedOver[reason.ordinal]

    private companion object {
        const val PERIOD_MILLISECONDS = 10_000L
    }
}
