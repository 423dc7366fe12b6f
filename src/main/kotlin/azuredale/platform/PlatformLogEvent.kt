package azuredale.platform

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events of calls to the platform, numbered 1100 to 1199. */
internal enum class PlatformLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    CALL_FAILED(1100, Level.DEBUG, "platform call failed"),
    WATCH_BROKEN(1101, Level.WARN, "key-value service watch broken"),
    MALFORMED_ANSWER(1102, Level.WARN, "malformed response from the platform"),
    BUDGET_EXHAUSTED(1103, Level.WARN, "platform call budget exhausted"),
    LIMIT_MALFORMED(1104, Level.WARN, "malformed request limit of a backend server ignored"),
    RETRY_AFTER_MALFORMED(1105, Level.WARN, "malformed retry time of a backend server ignored"),
    STORE_ERA_CHANGED(1106, Level.WARN, "store names another era of its history"),
}
