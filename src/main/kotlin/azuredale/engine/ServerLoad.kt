package azuredale.engine

/**
 * Outstanding work at one server.
 *
 * @property waitingTokens uncached prompt tokens of requests without a first event.
 * @property running requests in progress.
 * @property recentRequests requests sent within the window of [ServerLimits]; counted only under a limit of the server.
 * @property committedTokens memory that requests in progress take or may still take.
 */
public data class ServerLoad(
    val waitingTokens: Int = 0,
    val running: Int = 0,
    val recentRequests: Int = 0,
    val committedTokens: Int = 0,
) {
    public operator fun plus(other: ServerLoad): ServerLoad = ServerLoad(
        waitingTokens + other.waitingTokens,
        running + other.running,
        recentRequests + other.recentRequests,
        committedTokens + other.committedTokens,
    )

    /** The difference, without negative parts. */
    public operator fun minus(other: ServerLoad): ServerLoad = ServerLoad(
        (waitingTokens - other.waitingTokens).coerceAtLeast(0),
        (running - other.running).coerceAtLeast(0),
        (recentRequests - other.recentRequests).coerceAtLeast(0),
        (committedTokens - other.committedTokens).coerceAtLeast(0),
    )

    public companion object {
        public val NONE: ServerLoad = ServerLoad()
    }
}
