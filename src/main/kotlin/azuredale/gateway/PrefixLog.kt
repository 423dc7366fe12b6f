package azuredale.gateway

import azuredale.engine.PassedOver
import azuredale.engine.PrefixOutcomes
import azuredale.logging.EventLog
import azuredale.time.Timestamp

/** Logs and exposes what weighing kept prompt parts brings: a line each 10 s while prompts share parts. */
internal class PrefixLog(
    private val outcomes: PrefixOutcomes,
    private val log: EventLog,
) {
    /** A figure that counts since the start of the router; the log has what was added since the last line. */
    private class Total(
        val gauge: String,
        val value: () -> Number,
    ) {
        private var logged = 0.0

        fun addedSinceLogged(): Long = (value().toDouble() - logged).toLong()

        fun markLogged() {
            logged = value().toDouble()
        }
    }

    private val predicted = Total("tokens.predicted") { outcomes.predictedTokens }
    private val found = Total("tokens.found") { outcomes.foundTokens }
    private val undecided = Total("tokens.undecided") { outcomes.undecidedTokens }
    private val saved = Total("saved.milliseconds") { outcomes.savedMilliseconds }
    private val waited = Total("waited.milliseconds") { outcomes.waitedMilliseconds }
    private val sooner = Total("sooner.milliseconds") { outcomes.soonerMilliseconds }
    private val later = Total("later.milliseconds") { outcomes.laterMilliseconds }
    private val passedOver =
        PassedOver.entries.associateWith { reason ->
            Total("passed.over.${reason.name.lowercase()}") { outcomes.passedOver(reason) }
        }
    private val totals = listOf(predicted, found, undecided, saved, waited, sooner, later) + passedOver.values
    private var nextAt = Timestamp.DISTANT_PAST

    /** Registers the gauges, which count since the start of the router. */
    fun expose(metrics: GatewayMetrics) {
        totals.forEach { total -> metrics.gauge("prefix.${total.gauge}") { total.value().toDouble() } }
        metrics.gauge("prefix.prediction.error.milliseconds") { outcomes.errorMilliseconds }
    }

    /** Writes the line if it is due and anything was predicted since the last one. */
    fun tick(now: Timestamp) {
        if (now < nextAt) return
        nextAt = now.plusMilliseconds(PERIOD_MILLISECONDS)
        if (predicted.addedSinceLogged() == 0L) return
        log.write(
            GatewayLogEvent.PREFIXES_WEIGHED,
            "predicted" to predicted.addedSinceLogged(),
            "found" to found.addedSinceLogged(),
            "undecided" to undecided.addedSinceLogged(),
            "error" to outcomes.errorMilliseconds.toLong(),
            "saved" to saved.addedSinceLogged(),
            "waited" to waited.addedSinceLogged(),
            "sooner" to sooner.addedSinceLogged(),
            "later" to later.addedSinceLogged(),
            "wait" to passedOver[PassedOver.WAIT]?.addedSinceLogged(),
            "memory" to passedOver[PassedOver.MEMORY]?.addedSinceLogged(),
            "unavailable" to passedOver[PassedOver.UNAVAILABLE]?.addedSinceLogged(),
        )
        totals.forEach { it.markLogged() }
    }

    private companion object {
        const val PERIOD_MILLISECONDS = 10_000L
    }
}
