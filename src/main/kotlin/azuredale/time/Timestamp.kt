package azuredale.time

import kotlinx.serialization.Serializable

/** A point in time, in microseconds since the Unix epoch. Deadlines are stored as timestamps. */
@JvmInline
@Serializable
public value class Timestamp(public val microseconds: Long) : Comparable<Timestamp> {
    /** Returns this time plus [count] microseconds, which may be negative. */
    public fun plusMicroseconds(count: Long): Timestamp = Timestamp(microseconds + count)

    /** Returns this time plus [count] milliseconds, which may be negative. */
    public fun plusMilliseconds(count: Long): Timestamp = Timestamp(microseconds + count * MICROSECONDS_PER_MILLISECOND)

    /** Returns this time plus [count] seconds, which may be negative. */
    public fun plusSeconds(count: Long): Timestamp = Timestamp(microseconds + count * MICROSECONDS_PER_SECOND)

    /** Microseconds elapsed from [earlier] to this time; negative when [earlier] is later. */
    public fun microsecondsSince(earlier: Timestamp): Long = microseconds - earlier.microseconds

    /** Seconds elapsed from [earlier] to this time; negative when [earlier] is later. */
    public fun secondsSince(earlier: Timestamp): Double =
        microsecondsSince(earlier).toDouble() / MICROSECONDS_PER_SECOND

    /** Milliseconds since the Unix epoch, truncated. */
    public fun toMilliseconds(): Long = microseconds / MICROSECONDS_PER_MILLISECOND

    override fun compareTo(other: Timestamp): Int = microseconds.compareTo(other.microseconds)

    override fun toString(): String = "${microseconds}us"

    public companion object {
        public const val MICROSECONDS_PER_MILLISECOND: Long = 1_000
        public const val MICROSECONDS_PER_SECOND: Long = 1_000_000

        /** Earlier than any actual time; halved to prevent overflow in arithmetic. */
        public val DISTANT_PAST: Timestamp = Timestamp(Long.MIN_VALUE / 2)

        /** Later than any actual time; halved to prevent overflow in arithmetic. */
        public val DISTANT_FUTURE: Timestamp = Timestamp(Long.MAX_VALUE / 2)

        /** Creates a timestamp from milliseconds since the Unix epoch. */
        public fun ofMilliseconds(count: Long): Timestamp = Timestamp(count * MICROSECONDS_PER_MILLISECOND)
    }
}

/** Returns the current time; tests and the experiment tool use a virtual clock. */
public typealias Clock = () -> Timestamp

/** Creates a monotonic clock that starts at the current wall-clock time and advances with [System.nanoTime]. */
public fun systemClock(): Clock {
    val startMicroseconds = System.currentTimeMillis() * Timestamp.MICROSECONDS_PER_MILLISECOND
    val startNanoseconds = System.nanoTime()
    return { Timestamp(startMicroseconds + (System.nanoTime() - startNanoseconds) / NANOSECONDS_PER_MICROSECOND) }
}

private const val NANOSECONDS_PER_MICROSECOND = 1_000L
