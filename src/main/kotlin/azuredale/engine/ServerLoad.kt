package azuredale.engine

/**
 * Work at one server.
 *
 * @property waitingTokens uncached prompt tokens of requests that have not had their first event.
 * @property running requests that were sent and have not ended.
 */
public data class ServerLoad(
    val waitingTokens: Int = 0,
    val running: Int = 0,
) {
    public operator fun plus(other: ServerLoad): ServerLoad =
        ServerLoad(waitingTokens + other.waitingTokens, running + other.running)

    public companion object {
        /** No work. */
        public val NONE: ServerLoad = ServerLoad()
    }
}
