package azuredale.transport

import java.util.concurrent.ConcurrentHashMap

/** Assigns numbers to names in one direction of a connection. Both ends number names in order of definition. */
internal interface NameTable {
    /** Returns the number of [name], for encoding. */
    fun numberOf(name: String): Int

    /** Returns the name with [number], for decoding. */
    fun nameOf(number: Int): String

    /** Adds a name that the other end defined. */
    fun define(name: String)
}

/** Name table of the sending end, which assigns the next number when a name is first used. */
internal class SentNameTable(private val limits: FrameLimits) : NameTable {
    private val numbers = HashMap<String, Int>()
    private val unsent = ArrayList<String>()

    /** Names that have not been sent to the other end yet. */
    val undefined: List<String> get() = unsent

    override fun numberOf(name: String): Int = numbers[name] ?: add(name)

    override fun nameOf(number: Int): String = error("a sender decodes no names")

    override fun define(name: String): Unit = error("a sender decodes no names")

    /** Marks all names as sent to the other end. */
    fun markDefined(): Unit = unsent.clear()

    private fun add(name: String): Int {
        limits.checkName(numbers.size, name)
        numbers[name] = numbers.size
        unsent += name
        return numbers.size - 1
    }
}

/** Name table of the receiving end; [intern] returns the same instance for equal names on all connections. */
internal class ReceivedNameTable(
    private val limits: FrameLimits,
    private val intern: (String) -> String,
) : NameTable {
    private val names = ArrayList<String>()

    override fun numberOf(name: String): Int = error("a receiver encodes no names")

    override fun nameOf(number: Int): String =
        names.getOrNull(number) ?: throw FrameException(FrameFault.UNKNOWN_NAME, "no name has number $number")

    override fun define(name: String) {
        limits.checkName(names.size, name)
        names += intern(name)
    }
}

private fun FrameLimits.checkName(count: Int, name: String) {
    if (count >= names) throw FrameException(FrameFault.TOO_MANY_NAMES, "a connection defines at most $names names")
    if (name.length > nameBytes || name.encodeToByteArray().size > nameBytes) {
        throw FrameException(FrameFault.MALFORMED, "name is longer than $nameBytes bytes")
    }
}

/**
 * Returns the same instance for equal names. Stops adding names when it holds [maximumNames].
 *
 * With 2,900 teams on 389 connections, separate instances would take more than 60 MB.
 */
internal class NameInterner(private val maximumNames: Int = 65_536) : (String) -> String {
    private val instances = ConcurrentHashMap<String, String>()

    override fun invoke(name: String): String = instances[name]
        ?: if (instances.size < maximumNames) instances.putIfAbsent(name, name) ?: name else name
}
