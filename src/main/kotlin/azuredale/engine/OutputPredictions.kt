package azuredale.engine

/** Predicted and actual output of complete streams, for metrics. */
internal class OutputPredictions {
    /** Complete streams. */
    var streams = 0L
        private set

    /** Those that generated more than was set aside for them. */
    var exceeded = 0L
        private set

    /** Tokens that were set aside and not generated. */
    var unusedTokens = 0L
        private set

    /** Records a stream for which [predicted] tokens were set aside and which generated [actual]. */
    fun record(predicted: Int, actual: Int) {
        streams++
        if (actual > predicted) exceeded++ else unusedTokens += predicted - actual
    }
}
