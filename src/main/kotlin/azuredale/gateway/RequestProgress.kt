package azuredale.gateway

import azuredale.engine.ServerSelection
import azuredale.identity.SoftwareVersion
import azuredale.time.Timestamp

/**
 * How far one request of a caller has got, over all its attempts.
 *
 * @property arrivedAt earliest time at which the request may have arrived; it may have waited unread while the router
 *   was busy.
 * @property lastEventNumber number of the last event that the caller has, if the response is a stream.
 */
internal class RequestProgress(
    val arrivedAt: Timestamp,
    var lastEventNumber: Long?,
) {
    /** When the latency target of the request expires. */
    var onTimeUntil = arrivedAt

    /** When the caller stops waiting, or the time-out of the route ends. */
    var deadline = arrivedAt

    /** Attempts begun, and how many of them were written to a server. */
    var attempts = 0
    var sentCount = 0

    /** The server of the latest attempt. */
    var selection: ServerSelection.Selected? = null
    var sentAt: Timestamp? = null
    var hasBegunStream = false

    /** The software version of the servers whose events the caller has, null while there are none. */
    var softwareVersion: SoftwareVersion? = null
    var firstEventAt: Timestamp? = null
        private set
    var lastEventAt: Timestamp? = null
        private set

    /** Longest time between two events, in microseconds. */
    var longestPause = 0L
        private set

    /** Records events of the response that were read at [now]. */
    fun recordEvents(now: Timestamp) {
        if (firstEventAt == null) firstEventAt = now
        longestPause = maxOf(longestPause, now.microsecondsSince(lastEventAt ?: now))
        lastEventAt = now
    }

    /** Milliseconds from [now] to the deadline. */
    fun remainingMilliseconds(now: Timestamp): Long =
        deadline.microsecondsSince(now) / Timestamp.MICROSECONDS_PER_MILLISECOND

    /** Milliseconds from the arrival to [now]. */
    fun ageMilliseconds(now: Timestamp): Long =
        now.microsecondsSince(arrivedAt) / Timestamp.MICROSECONDS_PER_MILLISECOND
}
