package azuredale.report

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events of the metrics and the burn-rate report. */
public enum class ReportLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    FAST_BURN(1900, Level.ERROR, "error budget is used up fast"),
    SLOW_BURN(1901, Level.WARN, "error budget is used up slowly"),
    COUNTS_MISSING(1902, Level.WARN, "routers do not report their counts"),
    COUNTS_DROPPED(1903, Level.WARN, "burn counts dropped"),
}
