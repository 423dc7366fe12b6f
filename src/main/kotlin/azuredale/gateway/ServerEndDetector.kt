package azuredale.gateway

import azuredale.directory.BackendEntry
import azuredale.quarantine.ServerEnd
import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.CompletableDeferred

/**
 * Detects that a server process has ended when connections to it close without a response.
 *
 * A server may also close a single connection, so a new connection is tried: a process that has ended refuses it. The
 * prompts in progress without an answer are collected until then, since the connections do not close at one moment.
 *
 * @param probe tries a new connection and reports whether it was refused.
 * @param onEnd called with the server and this router's unanswered prompts when the process has ended; called again if
 *   further connections of the same process close later.
 */
internal class ServerEndDetector(
    private val clock: Clock,
    private val timer: (Timestamp, () -> Unit) -> Timer,
    private val probe: (BackendEntry, (isRefused: Boolean) -> Unit) -> Unit,
    private val onEnd: (BackendEntry, List<PromptShape>) -> Unit,
) {
    private class Check(val server: BackendEntry) {
        val prompts = ArrayList<PromptShape>()
        val result = CompletableDeferred<Boolean>()
        var hasEnded = false
        var validUntil = Timestamp.DISTANT_FUTURE
    }

    private val checks = LinkedHashMap<ServerEnd, Check>()

    /**
     * Records that a connection to [server] closed without a complete response.
     *
     * @param prompt the prompt in progress, null if the server had begun to answer it.
     * @return whether the process has ended; completes within the time-out of a connection.
     */
    fun connectionClosed(server: BackendEntry, prompt: PromptShape?): CompletableDeferred<Boolean> {
        removeExpired()
        val check = checks.getOrPut(ServerEnd.of(server)) { start(server) }
        if (prompt != null) {
            check.prompts += prompt
            if (check.hasEnded) report(check)
        }
        return check.result
    }

    private fun start(server: BackendEntry): Check {
        val check = Check(server)
        timer(clock().plusMilliseconds(COLLECT_MILLISECONDS)) {
            probe(server) { isRefused ->
                check.validUntil = clock().plusMilliseconds(RESULT_VALID_MILLISECONDS)
                check.hasEnded = isRefused
                if (isRefused) report(check)
                check.result.complete(isRefused)
            }
        }
        return check
    }

    private fun report(check: Check) {
        onEnd(check.server, check.prompts.toList())
        check.prompts.clear()
    }

    private fun removeExpired() {
        val now = clock()
        checks.values.removeIf { now >= it.validUntil }
    }

    private companion object {
        /** Time in which the other connections of an ended process close. */
        const val COLLECT_MILLISECONDS = 10L

        /** A result is used for connections that close shortly afterwards; then a new connection is tried. */
        const val RESULT_VALID_MILLISECONDS = 200L
    }
}
