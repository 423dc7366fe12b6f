package azuredale.transport

/** Names of one direction of a connection, numbered in order of first use; both ends hold the same table. */
internal class NameTable(private val limits: FrameLimits) {
    private val names = ArrayList<String>()
    private val numbers = HashMap<String, Int>()
    private var defined = 0

    /** Number of [name]; a name used for the first time gets the next number. */
    fun numberOf(name: String): Int = numbers[name] ?: add(name)

    /** The name with [number]. */
    fun nameOf(number: Int): String =
        names.getOrNull(number) ?: throw FrameException(FrameFault.UNKNOWN_NAME, "name number $number is not defined")

    /** Adds a name defined by the other end. */
    fun define(name: String) {
        if (name in numbers) throw FrameException(FrameFault.MALFORMED, "name is defined twice")
        add(name)
    }

    /** Names that the other end does not know yet. */
    fun undefined(): List<String> = names.subList(defined, names.size)

    /** Marks every name as known to the other end. */
    fun markDefined() {
        defined = names.size
    }

    private fun add(name: String): Int {
        if (names.size >= limits.names) throw FrameException(FrameFault.TOO_MANY_NAMES, "bound is ${limits.names}")
        if (name.length > limits.nameBytes || name.encodeToByteArray().size > limits.nameBytes) {
            throw FrameException(FrameFault.MALFORMED, "name is longer than ${limits.nameBytes} bytes")
        }
        names += name
        numbers[name] = names.lastIndex
        return names.lastIndex
    }
}
