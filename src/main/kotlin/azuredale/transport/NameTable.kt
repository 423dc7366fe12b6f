package azuredale.transport

import java.util.concurrent.ConcurrentHashMap

/** Relation of names and numbers in one direction of a connection; both ends number names in order of definition. */
internal interface NameNumbers {
    /** Number of [name], for encoding. */
    fun numberOf(name: String): Int

    /** Name with [number], for decoding. */
    fun nameOf(number: Int): String

    /** Adds a name that the other end defined. */
    fun define(name: String)
}

/** Names that this end numbers as it uses them. */
internal class SentNames(private val limits: FrameLimits) : NameNumbers {
    private val numbers = HashMap<String, Int>()
    private val new = ArrayList<String>()

    /** Names that the other end does not know yet. */
    val undefined: List<String> get() = new

    override fun numberOf(name: String): Int = numbers[name] ?: add(name)

    override fun nameOf(number: Int): String = error("a sender decodes no names")

    override fun define(name: String): Unit = error("a sender decodes no names")

    /** Marks every name as known to the other end. */
    fun markDefined(): Unit = new.clear()

    private fun add(name: String): Int {
        limits.checkName(numbers.size, name)
        numbers[name] = numbers.size
        new += name
        return numbers.size - 1
    }
}

/** Names that the other end numbers; [intern] returns one instance for equal names of all connections. */
internal class ReceivedNames(
    private val limits: FrameLimits,
    private val intern: (String) -> String,
) : NameNumbers {
    private val names = ArrayList<String>()

    override fun numberOf(name: String): Int = error("a receiver encodes no names")

    override fun nameOf(number: Int): String =
        names.getOrNull(number) ?: throw FrameException(FrameFault.UNKNOWN_NAME, "name number $number is not defined")

    override fun define(name: String) {
        limits.checkName(names.size, name)
        names += intern(name)
    }
}

private fun FrameLimits.checkName(count: Int, name: String) {
    if (count >= names) throw FrameException(FrameFault.TOO_MANY_NAMES, "bound is $names")
    if (name.length > nameBytes || name.encodeToByteArray().size > nameBytes) {
        throw FrameException(FrameFault.MALFORMED, "name is longer than $nameBytes bytes")
    }
}

/**
 * Returns one instance for equal names, as long as [maximumNames] is not reached. With 2,900 teams on 389 connections
 * separate instances would take over 60 MB.
 */
internal class NameInterner(private val maximumNames: Int = 65_536) : (String) -> String {
    private val instances = ConcurrentHashMap<String, String>()

    override fun invoke(name: String): String = instances[name]
        ?: if (instances.size < maximumNames) instances.putIfAbsent(name, name) ?: name else name
}
