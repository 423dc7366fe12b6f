package azuredale.time

import kotlinx.serialization.Serializable

/** A point in time in microseconds since the epoch. Deadlines are stored as timestamps. */
@JvmInline
@Serializable
public value class Timestamp(public val microseconds: Long) : Comparable<Timestamp> {
    /** This time moved by [count] microseconds. */
    public fun plusMicroseconds(count: Long): Timestamp = Timestamp(microseconds + count)

    /** This time moved by [count] milliseconds. */
    public fun plusMilliseconds(count: Long): Timestamp = Timestamp(microseconds + count * MICROSECONDS_PER_MILLISECOND)

    /** This time moved by [count] seconds. */
    public fun plusSeconds(count: Long): Timestamp = Timestamp(microseconds + count * MICROSECONDS_PER_SECOND)

    /** Microseconds from [earlier] to this time; negative when [earlier] is later. */
    public fun microsecondsSince(earlier: Timestamp): Long = microseconds - earlier.microseconds

    /** Seconds from [earlier] to this time. */
    public fun secondsSince(earlier: Timestamp): Double =
        microsecondsSince(earlier).toDouble() / MICROSECONDS_PER_SECOND

    /** Whole milliseconds since the epoch. */
    public fun toMilliseconds(): Long = microseconds / MICROSECONDS_PER_MILLISECOND

    override fun compareTo(other: Timestamp): Int = microseconds.compareTo(other.microseconds)

    override fun toString(): String = "${microseconds}us"

    public companion object {
        public const val MICROSECONDS_PER_MILLISECOND: Long = 1_000
        public const val MICROSECONDS_PER_SECOND: Long = 1_000_000

        /** Earlier than every real time. */
        public val DISTANT_PAST: Timestamp = Timestamp(Long.MIN_VALUE / 2)

        /** Later than every real time. */
        public val DISTANT_FUTURE: Timestamp = Timestamp(Long.MAX_VALUE / 2)

        /** A timestamp from milliseconds since the epoch. */
        public fun ofMilliseconds(count: Long): Timestamp = Timestamp(count * MICROSECONDS_PER_MILLISECOND)
    }
}

/** Returns the present time; tests and the experiment tool pass a virtual one. */
public typealias Clock = () -> Timestamp

/** A clock that follows the system's wall clock but never steps back. */
public fun systemClock(): Clock {
    val startWall = System.currentTimeMillis() * Timestamp.MICROSECONDS_PER_MILLISECOND
    val startNanoseconds = System.nanoTime()
    return { Timestamp(startWall + (System.nanoTime() - startNanoseconds) / NANOSECONDS_PER_MICROSECOND) }
}

private const val NANOSECONDS_PER_MICROSECOND = 1_000L
