package azuredale.engine

import kotlin.math.abs

/** Why a server that keeps a prompt's shared parts did not get the prompt. */
internal enum class PassedOver {
    /** The wait there costs more than the parts save. */
    WAIT,

    /** The prompt would push parts out of the server's memory that are worth more. */
    MEMORY,

    /** The server leaves, failed recently, or takes no more requests. */
    UNAVAILABLE,
}

/** How far the predictions on kept prompt parts hold, and why servers that keep them are passed over. */
internal class PrefixOutcomes {
    private val passedOver = LongArray(PassedOver.entries.size)

    /** Tokens of shared parts that servers were predicted to keep, of requests with a first event. */
    var predictedTokens = 0L
        private set

    /** Tokens of [predictedTokens] that the time to the first event shows as kept. */
    var foundTokens = 0L
        private set

    /** Tokens of [predictedTokens] whose prefill is shorter than what predictions usually are wrong by. */
    var undecidedTokens = 0L
        private set

    /** Moving average of the error of predicted first events, in milliseconds, of prompts without kept parts. */
    var errorMilliseconds = INITIAL_ERROR_MILLISECONDS
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

    /**
     * Records a first event.
     *
     * @param keptTokens tokens that the server was predicted to keep.
     * @param keptMilliseconds time to read them.
     * @param lateMilliseconds how much later than predicted the event came; negative if earlier.
     */
    fun recordFirstEvent(keptTokens: Int, keptMilliseconds: Double, lateMilliseconds: Double) {
        if (keptTokens <= 0) {
            errorMilliseconds += (abs(lateMilliseconds) - errorMilliseconds) * ERROR_SMOOTHING
            return
        }
        predictedTokens += keptTokens
        if (keptMilliseconds < SURE_ERRORS * errorMilliseconds) {
            undecidedTokens += keptTokens
        } else {
            foundTokens += (keptTokens * (1 - (lateMilliseconds / keptMilliseconds).coerceIn(0.0, 1.0))).toLong()
        }
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
        /** Half of the usual time to the first event of an idle server. */
        const val INITIAL_ERROR_MILLISECONDS = 15.0
        const val ERROR_SMOOTHING = 0.05

        /** A difference of two mean errors is rarely chance. */
        const val SURE_ERRORS = 2.0
    }
}
