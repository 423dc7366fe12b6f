package azuredale.engine

/**
 * How many tokens the streams of one route generate.
 *
 * A request that outgrows the memory set aside for it can make its server preempt another one, whose caller then waits
 * for its prompt to be read again in the middle of a stream. Callers accept that for at most one request in 500, so a
 * request may outgrow its claim that often. Whatever the distribution, the next stream is longer than all of the last n
 * with a probability of 1 in n + 1; hence the claim is the longest of the last 499, and the declared maximum before
 * there are as many.
 */
internal class OutputLengths {
    private val recent = IntArray(STREAMS)
    private var position = 0
    private var count = 0
    private var longest = 0

    /** Records that a complete stream generated [tokens]. */
    fun record(tokens: Int) {
        val replaced = recent[position]
        recent[position] = tokens
        position = (position + 1) % STREAMS
        count = minOf(count + 1, STREAMS)
        longest = if (replaced == longest && count == STREAMS) recent.max() else maxOf(longest, tokens)
    }

    /** Tokens to set aside for the output of a request that may generate at most [maximum]. */
    fun claim(maximum: Int): Int = if (count < STREAMS) maximum else minOf(longest, maximum)

    companion object {
        /** Streams of which one is expected to be longer than its claim, less that one. */
        const val STREAMS = 499
    }
}
