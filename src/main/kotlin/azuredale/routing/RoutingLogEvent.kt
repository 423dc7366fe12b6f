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
    STALE_EVENT_DROPPED(1602, Level.DEBUG, "event of an older attempt dropped"),
    INELIGIBLE_GRANT(1603, Level.INFO, "granted server is excluded by the document"),
    RETRY_BUDGET_EXHAUSTED(1604, Level.WARN, "retry budget is used up"),
    EDGE_STARTED(1605, Level.INFO, "caller edge listens"),
    EDGE_STOPPED(1606, Level.INFO, "caller edge stopped"),
    CALLER_REQUEST_INVALID(1607, Level.DEBUG, "malformed caller request"),
    EDGE_FAULT(1608, Level.ERROR, "unexpected failure in the HTTP edge"),
    POLL_FAILED(1609, Level.INFO, "backend server does not report load or cache events"),
    DRAIN_STARTED(1610, Level.INFO, "router takes no new requests"),
}
