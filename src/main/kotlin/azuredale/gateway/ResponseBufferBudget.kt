package azuredale.gateway

/**
 * Bound on the bytes of responses and incomplete events that a router holds back, for each response and in total.
 *
 * A faulty server may send bytes without end.
 */
internal class ResponseBufferBudget {
    private var total = 0

    /** Buffered bytes of one response. */
    inner class Part {
        private var bytes = 0

        /** Sets the number of buffered bytes; returns false if they exceed a bound. */
        fun update(count: Int): Boolean {
            total += count - bytes
            bytes = count
            return bytes <= MAXIMUM_RESPONSE_BYTES && total <= MAXIMUM_TOTAL_BYTES
        }

        /** Returns all bytes to the budget. */
        fun release() {
            update(0)
        }
    }

    private companion object {
        /** Responses that are longer are streamed by their routes. */
        const val MAXIMUM_RESPONSE_BYTES = 2 * 1024 * 1024

        /** A sixth of the heap of the smallest supported VM. */
        const val MAXIMUM_TOTAL_BYTES = 16 * 1024 * 1024
    }
}
