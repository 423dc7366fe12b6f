package azuredale.console

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events of the operator interface and the web console. */
internal enum class ConsoleLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    OPERATOR_INTERFACE_STARTED(1800, Level.INFO, "operator interface started"),
    OPERATOR_UNAUTHORIZED(1801, Level.WARN, "operator request without a valid token refused"),
    DOCUMENT_SUBMITTED(1802, Level.INFO, "document submission answered"),
    DRAIN_REQUESTED(1803, Level.INFO, "drain requested by an operator"),
    OPERATOR_REQUEST_FAILED(1804, Level.ERROR, "operator request failed unexpectedly"),
}
