package azuredale.engine

import azuredale.identity.ServerId
import azuredale.time.Timestamp

/** Why a server that keeps a prompt's shared parts did not get the prompt. */
internal enum class PassedOver {
    /** The wait there costs more than the parts save. */
    WAIT,

    /** The prompt would push parts out of the server's memory that are worth more. */
    MEMORY,

    /** The server leaves, failed recently, or takes no more requests. */
    UNAVAILABLE,
}

/**
 * What the choice of a server for a prompt trades, as predicted times to the first event.
 *
 * @property holderMilliseconds at the server that keeps most of the prompt, if it was passed over; null if it was
 *   chosen.
 * @property chosenMilliseconds at the server that was chosen.
 * @property soonestMilliseconds at the server that would answer soonest.
 */
internal data class PrefixTrade(
    val holderMilliseconds: Double?,
    val chosenMilliseconds: Double,
    val soonestMilliseconds: Double,
)

/**
 * The first event of a stream, as far as it shows what its server keeps.
 *
 * @property keptTokens tokens that the server was predicted to keep.
 * @property keptMilliseconds time to read them.
 * @property lateMilliseconds how much later than predicted the event came; negative if earlier.
 * @property milliseconds time from the request to the event.
 * @property trade what the choice of the server traded; null if the prompt shares no part.
 */
internal class PrefixFirstEvent(
    val server: ServerId,
    val keptTokens: Int,
    val keptMilliseconds: Double,
    val lateMilliseconds: Double,
    val at: Timestamp,
    val milliseconds: Double = 0.0,
    val trade: PrefixTrade? = null,
)

/** How far the predictions on kept prompt parts hold, what they bring, and why servers with them are passed over. */
internal class PrefixOutcomes {
    private val passedOver = LongArray(PassedOver.entries.size)
    private val lateness = FirstEventLateness()
    private val errors = PredictionErrors()
    private var found = 0.0

    /** Tokens of shared parts that servers were predicted to keep, of requests with a first event. */
    var predictedTokens = 0L
        private set

    /** Tokens of [predictedTokens] that the times to first events show as kept; falls when some show as not kept. */
    val foundTokens: Long get() = found.toLong().coerceIn(0, predictedTokens - undecidedTokens)

    /** Tokens of [predictedTokens] that cannot be told, as predictions are usually wrong by more. */
    var undecidedTokens = 0L
        private set

    /** Mean error of predicted first events, in milliseconds, besides what delays all of them. */
    val errorMilliseconds: Double get() = errors.meanMilliseconds

    /** Prefill that callers did not wait for, because their server kept parts; without parts shown as not kept. */
    var savedMilliseconds = 0.0
        private set

    /** How much longer callers were predicted to wait at servers that keep parts than at the soonest server. */
    var waitedMilliseconds = 0.0
        private set

    /** How much sooner first events came than predicted at servers with the parts that were passed over. */
    var soonerMilliseconds = 0.0
        private set

    /** How much later first events came than predicted at servers with the parts that were passed over. */
    var laterMilliseconds = 0.0
        private set

    /** Number of prompts for which a server with the shared parts was passed over for [reason]. */
    fun passedOver(reason: PassedOver): Long = passedOver[reason.ordinal]

    /** Records that [chosen] of [placements] gets the prompt of [outline]. */
    fun recordChoice(outline: PromptOutline, chosen: Placement, placements: List<Placement>) {
        if (outline.sharedTokens == 0) return
        val holder = placements.minByOrNull { it.selection.uncachedTokens } ?: return
        val reason =
            when {
                holder.selection.uncachedTokens < chosen.selection.uncachedTokens -> reason(holder.cost, chosen.cost)
                outline.holders > 0 && outline.repeatedTokens(holder.selection.uncachedTokens) > 0 ->
                    PassedOver.UNAVAILABLE
                else -> return
            }
        passedOver[reason.ordinal]++
    }

    /** Records the first event of a stream. */
    fun recordFirstEvent(event: PrefixFirstEvent) {
        val usual = lateness.milliseconds(event.server, event.at)
        val late = event.lateMilliseconds - usual
        if (event.keptMilliseconds <= errorMilliseconds * UNRELATED_ERRORS) {
            lateness.record(event.server, event.lateMilliseconds, event.at)
            errors.record(late)
        }
        val keptShare = errors.keptShare(event.keptMilliseconds, late)
        predictedTokens += event.keptTokens
        if (keptShare == null) undecidedTokens += event.keptTokens else found += event.keptTokens * keptShare
        event.trade?.let { recordTrade(it, event, usual, event.keptMilliseconds * (keptShare ?: 1.0)) }
    }

    /** Compares with what the holder would have taken, which is as late as other first events are. */
    private fun recordTrade(trade: PrefixTrade, event: PrefixFirstEvent, usual: Double, saved: Double) {
        savedMilliseconds += saved
        if (trade.holderMilliseconds == null) {
            if (event.keptTokens > 0) waitedMilliseconds += trade.chosenMilliseconds - trade.soonestMilliseconds
            return
        }
        val sooner = trade.holderMilliseconds + usual - event.milliseconds
        if (sooner > 0) soonerMilliseconds += sooner else laterMilliseconds -= sooner
    }

    private fun reason(holder: PlacementCost, chosen: PlacementCost): PassedOver {
        val memory = holder.evictionMilliseconds - chosen.evictionMilliseconds
        return if (memory > holder.predictedMilliseconds - chosen.predictedMilliseconds) {
            PassedOver.MEMORY
        } else {
            PassedOver.WAIT
        }
    }

    private companion object {
        /** Prefill of kept parts, in mean errors, that hardly shows in the time of a first event. */
        const val UNRELATED_ERRORS = 0.5
    }
}
