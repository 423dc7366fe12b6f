package azuredale.gateway

import azuredale.logging.EventLog

/**
 * Ends the process on an error that it cannot survive, for example when it runs out of memory, so that the platform
 * starts it again. A process that lives on without its event loop would answer nothing.
 */
internal object FatalErrors {
    /** Exit status of a process that ended on an error. */
    const val EXIT_STATUS: Int = 70

    /** Exit status of a process whose event loop had stopped. */
    const val LOOP_STOPPED_STATUS: Int = 71

    /** Time for the last log line to be written. */
    private const val LAST_LINE_MILLISECONDS = 100L

    /** Innermost calls of a stopped event loop; bounds the length of the line. */
    private const val LOGGED_FRAMES = 8
    private val log = EventLog("azuredale.gateway")

    /** Logs [failure], which nothing else has handled, and ends the process if it is an [Error]. */
    fun handle(failure: Throwable) {
        if (failure is Error) {
            log.write(GatewayLogEvent.PROCESS_FAILED, "error" to failure)
            end(EXIT_STATUS)
        }
        log.write(GatewayLogEvent.EXCEPTION_UNHANDLED, cause = failure)
    }

    /** Logs that the event loop of [thread] has stopped, and ends the process. */
    fun loopStopped(thread: Thread) {
        log.write(
            GatewayLogEvent.LOOP_STOPPED,
            "state" to thread.state,
            "at" to thread.stackTrace.take(LOGGED_FRAMES).joinToString(" "),
        )
        end(LOOP_STOPPED_STATUS)
    }

    private fun end(status: Int) {
        // The log is written by a thread of its own.
        Thread.sleep(LAST_LINE_MILLISECONDS)
        // Shutdown hooks may need what the process has run out of, or wait for the event loop.
        Runtime.getRuntime().halt(status)
    }
}
