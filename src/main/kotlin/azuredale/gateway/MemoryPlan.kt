package azuredale.gateway

/**
 * How a router divides the memory of its VM, so that its process stays within it whatever callers and servers send.
 *
 * Answers floods of connections and uploads at a small VM. Beyond its part, a connection is closed or a request is
 * refused as not run; the rest is served as before.
 *
 * @param memoryBytes memory that the process may use altogether; null if the platform names no limit.
 * @param heapBytes the part of it that the heap may use.
 */
internal class MemoryPlan(
    memoryBytes: Long?,
    private val heapBytes: Long,
) {
    private val nativeBytes =
        if (memoryBytes == null) Long.MAX_VALUE else (memoryBytes - heapBytes - NATIVE_PROGRAM_BYTES).coerceAtLeast(0)

    /** Connections that callers may have open. */
    val connections: Int = (heapBytes * CONNECTION_PERCENT / PERCENT / CONNECTION_HEAP_BYTES).toInt().coerceAtLeast(1)

    /** Bytes of responses that may be held back, and of incomplete events. */
    val responseBytes: Int = minOf(heapBytes / RESPONSE_PARTS, MAXIMUM_RESPONSE_BYTES).toInt()

    /**
     * Bytes of request bodies that may be held. A body is copied to native memory while it is written to a server, so
     * it takes its length of both.
     */
    val bodyBytes: Long =
        minOf(
            heapBytes * BODY_PERCENT / PERCENT,
            heapBytes - HEAP_PROGRAM_BYTES - responseBytes - connections * CONNECTION_HEAP_BYTES,
            nativeBytes - connections * CONNECTION_NATIVE_BYTES,
        ).coerceAtLeast(MINIMUM_BODY_BYTES)

    /** Heap in use when all parts are used up. */
    val heapNeeded: Long get() = HEAP_PROGRAM_BYTES + bodyBytes + responseBytes + connections * CONNECTION_HEAP_BYTES

    /** Memory of the process when all parts are used up and the heap has grown to its bound. */
    val memoryNeeded: Long
        get() = heapBytes + NATIVE_PROGRAM_BYTES + bodyBytes + connections * CONNECTION_NATIVE_BYTES

    private companion object {
        const val PERCENT = 100
        const val MEBIBYTE = 1_024L * 1_024L

        /** Classes, compiled code, threads and buffers of the event loop, under load; the class archive is shared. */
        const val NATIVE_PROGRAM_BYTES = 38 * MEBIBYTE

        /** The program's own objects, and requests in progress without their bodies. */
        const val HEAP_PROGRAM_BYTES = 12 * MEBIBYTE

        const val BODY_PERCENT = 40
        const val CONNECTION_PERCENT = 20

        /** The channel with its handlers, and a request that is partly read. */
        const val CONNECTION_HEAP_BYTES = 10L * 1_024

        /** A read buffer that holds a part of a request. */
        const val CONNECTION_NATIVE_BYTES = 2L * 1_024

        const val RESPONSE_PARTS = 6L
        const val MAXIMUM_RESPONSE_BYTES = 16 * MEBIBYTE

        /** Room for one body of 4 MiB beside small ones. */
        const val MINIMUM_BODY_BYTES = 6 * MEBIBYTE
    }
}
