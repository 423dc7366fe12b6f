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
    ALLOTMENT_STARTED(1500, Level.INFO, "this router allots a shard"),
    ALLOTMENT_ENDED(1501, Level.INFO, "this router no longer allots a shard"),
    REGISTRATIONS_MISSING(1502, Level.WARN, "grants begin before all routers have registered"),
    SERVER_EJECTED(1503, Level.WARN, "a failing backend server gets no new work for a while"),
    SERVER_RESTORED(1504, Level.INFO, "an ejected backend server works again"),
    RESERVE_STARTED(1505, Level.WARN, "no allotter is reachable; the local reserve is used"),
    RESERVE_ENDED(1506, Level.INFO, "an allotter is reachable again; the local reserve is not used"),
}

/** Receives the log events of the sharing controllers with their fields. */
public typealias SharingLog = (event: SharingLogEvent, fields: Map<String, Any?>) -> Unit

/** Writes to SLF4J under `azuredale.sharing`. */
@Suppress("SpreadOperator")
public fun sharingLog(): SharingLog {
    val log = EventLog("azuredale.sharing")
    // The events are rare, so the copy made by the spread operator does not matter.
    return { event, fields -> log.write(event, *fields.toList().toTypedArray()) }
}
