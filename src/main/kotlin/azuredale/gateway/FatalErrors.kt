package azuredale.gateway

import azuredale.logging.EventLog

/**
 * Ends the process on an error that it cannot survive, for example when it runs out of memory, so that the platform
 * starts it again. A process that lives on without its event loop would answer nothing.
 */
internal object FatalErrors {
    /** Exit status of a process that ended on an error. */
    const val EXIT_STATUS: Int = 70

    /** Time for the last log line to be written. */
    private const val LAST_LINE_MILLISECONDS = 100L
    private val log = EventLog("azuredale.gateway")

    /** Logs [failure], which nothing else has handled, and ends the process if it is an [Error]. */
    fun handle(failure: Throwable) {
        if (failure is Error) {
            log.write(GatewayLogEvent.PROCESS_FAILED, "error" to failure)
            // The log is written by a thread of its own.
            Thread.sleep(LAST_LINE_MILLISECONDS)
            // Shutdown hooks may need what the process has run out of.
            Runtime.getRuntime().halt(EXIT_STATUS)
        }
        log.write(GatewayLogEvent.EXCEPTION_UNHANDLED, cause = failure)
    }
}
