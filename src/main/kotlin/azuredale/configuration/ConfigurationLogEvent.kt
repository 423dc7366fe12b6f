package azuredale.configuration

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events 1200 to 1299. */
internal enum class ConfigurationLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    DOCUMENT_ADOPTED(1200, Level.INFO, "document adopted"),
    DOCUMENT_MALFORMED(1201, Level.ERROR, "document rejected because it cannot be parsed"),
    DOCUMENT_MISSING(1202, Level.ERROR, "key-value service has no document, but this router holds one"),
    DOCUMENT_OLDER(1203, Level.WARN, "key-value service returned an older document"),
    DOCUMENT_CONFLICT(1204, Level.ERROR, "two documents have the same revision"),
    PROCESS_PAUSED(1205, Level.WARN, "process was paused; confirmations received during the pause are ignored"),
    DOCUMENT_EXPIRED(1206, Level.WARN, "document is not confirmed; no new work is started"),
    DOCUMENT_CONFIRMED(1207, Level.INFO, "document is confirmed; new work may start"),
    WATCHER_CHANGED(1208, Level.INFO, "started or stopped watching the document"),
    SUBMISSION_ACCEPTED(1209, Level.INFO, "submission accepted"),
    SUBMISSION_REFUSED(1210, Level.INFO, "submission refused"),
    SUBMISSION_UNKNOWN(1211, Level.WARN, "result of a submission is unknown"),
}
