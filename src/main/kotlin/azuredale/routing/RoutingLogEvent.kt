package azuredale.routing

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events of the request life cycle and the HTTP edge. */
internal enum class RoutingLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    REQUEST_FAILED(1600, Level.INFO, "request failed"),
    ATTEMPT_FAILED(1601, Level.WARN, "attempt at a backend server failed"),
    STALE_EVENT_DROPPED(1602, Level.DEBUG, "dropped event of an earlier attempt or finished request"),
    INELIGIBLE_GRANT(1603, Level.INFO, "document excludes the granted server"),
    RETRY_BUDGET_EXHAUSTED(1604, Level.WARN, "retry budget exhausted"),
    EDGE_STARTED(1605, Level.INFO, "HTTP edge listening for callers"),
    EDGE_STOPPED(1606, Level.INFO, "HTTP edge stopped"),
    CALLER_REQUEST_INVALID(1607, Level.DEBUG, "caller request rejected as invalid"),
    EDGE_FAULT(1608, Level.ERROR, "unexpected exception in the HTTP edge"),
    POLL_FAILED(1609, Level.INFO, "polling a backend server for load or cache events failed"),
    DRAIN_STARTED(1610, Level.INFO, "router draining: new requests are refused"),
}
