package azuredale.quarantine

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events 2300 to 2399: quarantine of prompt parts that crash servers. */
internal enum class QuarantineLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    SERVER_ENDED(2300, Level.WARN, "backend server process ended unexpectedly"),
    PART_QUARANTINED(2301, Level.WARN, "prompt part quarantined"),
    PART_RELEASED(2302, Level.INFO, "prompt part released from quarantine"),
    TRIAL_CLAIMED(2303, Level.INFO, "trial request of a quarantined prompt part claimed"),
    TABLE_WRITTEN(2304, Level.INFO, "quarantine table in the store written"),
    ENTRY_MALFORMED(2305, Level.WARN, "malformed entry of the quarantine table ignored"),
}
