package azuredale.resumption

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events 2400 to 2499: streams that go on at servers of the software version that began them. */
internal enum class ResumptionLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    POOL_MIXED(2400, Level.INFO, "servers of a pool have several software versions"),
    NOTE_WRITTEN(2401, Level.INFO, "note of a pool with several software versions written to the store"),
    NOTE_REMOVED(2402, Level.INFO, "note of a pool with several software versions removed from the store"),
    ORIGIN_ASKED(2403, Level.INFO, "other routers were asked which software version began a stream"),
}
