package azuredale.transport

/**
 * Validates the declared lengths in a CBOR item before it is decoded.
 *
 * The decoder allocates memory for the declared length of a string or collection, so without this check a short frame
 * could make it allocate gigabytes.
 */
internal object CborLengths {
    private const val MAXIMUM_DEPTH = 32
    private const val UNSIGNED = 0
    private const val NEGATIVE = 1
    private const val BYTES = 2
    private const val TEXT = 3
    private const val ARRAY = 4
    private const val MAP = 5
    private const val TAG = 6
    private const val ARGUMENT_BITS = 5
    private const val ARGUMENT_MASK = 0x1F
    private const val BYTE_MASK = 0xFF
    private const val FIRST_LONG_ARGUMENT = 24
    private const val LAST_LONG_ARGUMENT = 27

    /** Whether [bytes] contain exactly one item, with definite lengths that do not extend past the end of [bytes]. */
    fun areValid(bytes: ByteArray): Boolean {
        val reader = Reader(bytes)
        return reader.skipItem(depth = 0) && reader.position == bytes.size
    }

    private class Reader(private val bytes: ByteArray) {
        var position = 0
            private set
        private val remaining: Int get() = bytes.size - position

        fun skipItem(depth: Int): Boolean {
            if (depth > MAXIMUM_DEPTH || remaining == 0) return false
            val head = bytes[position++].toInt() and BYTE_MASK
            val argument = argument(head and ARGUMENT_MASK)
            if (argument < 0) return false
            return when (head shr ARGUMENT_BITS) {
                BYTES, TEXT -> skipBytes(argument)
                ARRAY -> skipItems(argument, depth)
                MAP -> argument <= remaining && skipItems(argument * 2, depth)
                TAG -> skipItem(depth + 1)
                UNSIGNED, NEGATIVE -> true
                else -> true
            }
        }

        private fun skipBytes(count: Long): Boolean {
            if (count > remaining) return false
            position += count.toInt()
            return true
        }

        /** Every item takes at least one byte, so a collection with more items than remaining bytes is invalid. */
        private fun skipItems(count: Long, depth: Int): Boolean =
            count <= remaining && (0 until count).all { skipItem(depth + 1) }

        /** Reads the argument of an item head; negative if it is truncated, indefinite or not a valid length. */
        private fun argument(code: Int): Long {
            if (code < FIRST_LONG_ARGUMENT) return code.toLong()
            if (code > LAST_LONG_ARGUMENT) return -1
            val size = 1 shl (code - FIRST_LONG_ARGUMENT)
            if (size > remaining) return -1
            var value = 0L
            repeat(size) { value = (value shl Byte.SIZE_BITS) or (bytes[position++].toLong() and BYTE_MASK.toLong()) }
            return value
        }
    }
}
