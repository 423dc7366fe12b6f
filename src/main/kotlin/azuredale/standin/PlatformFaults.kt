package azuredale.standin

/**
 * Faults that the platform stand-in shows.
 *
 * @property isDown connections are closed before a call has any effect, and watches are broken.
 * @property delayMilliseconds delay of each answer; calls take effect before it.
 * @property lostReplies number of further writes that take effect and whose connection is then closed.
 * @property lostRequests number of further writes whose connection is closed before they take effect.
 * @property errorStatus HTTP status with which every call fails without effect, or null.
 * @property callsPerSecond calls per second above which the service answers 429, or null for no limit.
 */
public data class PlatformFaults(
    val isDown: Boolean = false,
    val delayMilliseconds: Long = 0,
    val lostReplies: Int = 0,
    val lostRequests: Int = 0,
    val errorStatus: Int? = null,
    val callsPerSecond: Int? = null,
)
