package azuredale.standin

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events of [EngineStandIn] and [ServiceStandIn]. */
internal enum class StandInLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    ENGINE_STARTED(2000, Level.INFO, "engine stand-in started"),
    SERVICE_STARTED(2001, Level.INFO, "service stand-in started"),
    FAULT_INJECTED(2002, Level.DEBUG, "fault injected into a response"),
}
