package azuredale.standin

/**
 * Faults injected by [PlatformStandIn].
 *
 * @property isDown closes each connection before its call takes effect, and breaks watches.
 * @property delayMilliseconds delay of each response; the call takes effect before the delay.
 * @property lostReplies number of coming writes that take effect but whose connection is then closed.
 * @property lostRequests number of coming writes whose connection is closed before they take effect.
 * @property errorStatus HTTP status with which every call fails without effect, or null.
 * @property callsPerSecond rate above which calls fail with status 429, or null for no limit.
 */
public data class PlatformFaults(
    val isDown: Boolean = false,
    val delayMilliseconds: Long = 0,
    val lostReplies: Int = 0,
    val lostRequests: Int = 0,
    val errorStatus: Int? = null,
    val callsPerSecond: Int? = null,
)
