package azuredale.gateway

import azuredale.identity.ServerId

/**
 * Bound on the bytes of responses and incomplete events that a router holds back, for each response and in total.
 *
 * A faulty server may send bytes without end. When the total is used up, the server that holds most gives way: its
 * largest response fails, and the responses of other servers are not affected.
 *
 * @param totalBytes bytes of all responses together.
 */
internal class ResponseBufferBudget(private val totalBytes: Int) {
    private val parts = LinkedHashSet<Part>()
    private var total = 0

    /**
     * Buffered bytes of one response of [server].
     *
     * @param onEvicted called when the response has to give way to others, at most once.
     */
    inner class Part(
        val server: ServerId,
        private val onEvicted: () -> Unit,
    ) {
        private var isEvicted = false

        /** Number of buffered bytes. */
        var bytes = 0
            private set

        /** Sets the number of buffered bytes; returns false if this response exceeds a bound. */
        fun update(count: Int): Boolean {
            if (isEvicted) return false
            resize(count)
            if (bytes > MAXIMUM_RESPONSE_BYTES) return false
            while (total > totalBytes) {
                val evicted = largest()
                evicted.evict()
                if (evicted === this) return false
                evicted.onEvicted()
            }
            return true
        }

        /** Returns all bytes to the budget. */
        fun release() = resize(0)

        private fun evict() {
            isEvicted = true
            resize(0)
        }

        private fun resize(count: Int) {
            total += count - bytes
            bytes = count
            if (count == 0) parts -= this else parts += this
        }
    }

    /** The largest response of the server that holds most. */
    private fun largest(): Part {
        val greediest = checkNotNull(parts.groupBy { it.server }.values.maxByOrNull { held -> held.sumOf { it.bytes } })
        return greediest.maxBy { it.bytes }
    }

    private companion object {
        /** Responses that are longer are streamed by their routes. */
        const val MAXIMUM_RESPONSE_BYTES = 2 * 1024 * 1024
    }
}
