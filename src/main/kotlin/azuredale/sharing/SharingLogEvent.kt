package azuredale.sharing

import azuredale.logging.EventLog
import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events of capacity sharing. */
public enum class SharingLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    ALLOTMENT_STARTED(1500, Level.INFO, "started allotting slots of shard"),
    ALLOTMENT_ENDED(1501, Level.INFO, "stopped allotting slots of shard"),
    REGISTRATIONS_MISSING(1502, Level.WARN, "granting slots before all routers have registered"),
    SERVER_EJECTED(1503, Level.WARN, "backend server ejected after repeated failures"),
    SERVER_RESTORED(1504, Level.INFO, "ejected backend server recovered"),
    RESERVE_STARTED(1505, Level.WARN, "no allotter reachable; using local slot reserve"),
    RESERVE_ENDED(1506, Level.INFO, "allotter reachable again; no longer using local slot reserve"),
}

/** Receives log events of the sharing controllers with their fields. */
public typealias SharingLog = (event: SharingLogEvent, fields: Map<String, Any?>) -> Unit

/** Writes log events to the SLF4J logger `azuredale.sharing`. */
@Suppress("SpreadOperator")
public fun sharingLog(): SharingLog {
    val log = EventLog("azuredale.sharing")
    // These events are rare, so the array copy made by the spread operator is acceptable.
    return { event, fields -> log.write(event, *fields.toList().toTypedArray()) }
}
