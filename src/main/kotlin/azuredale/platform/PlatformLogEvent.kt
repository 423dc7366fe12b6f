package azuredale.platform

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events 1100 to 1199. */
internal enum class PlatformLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    CALL_FAILED(1100, Level.DEBUG, "call to the key-value service failed"),
    WATCH_BROKEN(1101, Level.WARN, "watch of the key-value service was lost"),
    MALFORMED_ANSWER(1102, Level.WARN, "answer of the platform is malformed"),
    BUDGET_EXHAUSTED(1103, Level.WARN, "call budget of the platform is used up"),
}
