package azuredale.gateway

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events 2200 to 2299: one router's decisions on the platform. */
internal enum class GatewayLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    GATEWAY_STARTED(2200, Level.INFO, "gateway started"),
    GATEWAY_STOPPING(2201, Level.INFO, "gateway is stopping"),
    GATEWAY_STOPPED(2202, Level.INFO, "gateway stopped"),
    REQUEST_REFUSED(2210, Level.INFO, "request refused"),
    REQUEST_SENT(2211, Level.DEBUG, "request sent to a backend server"),
    REQUEST_ENDED(2212, Level.INFO, "request ended"),
    ATTEMPT_FAILED(2213, Level.INFO, "attempt failed"),
    HEAD_MALFORMED(2214, Level.INFO, "request head is malformed"),
    CATALOG_ADOPTED(2220, Level.INFO, "catalog adopted"),
    CATALOG_REFUSED(2221, Level.ERROR, "stored catalog cannot be read; the old one stays in force"),
    DIRECTORY_CHANGED(2222, Level.INFO, "backend server changed"),
    ENTRY_MALFORMED(2223, Level.WARN, "registration of a backend server is malformed and ignored"),
    STORE_LOST(2224, Level.WARN, "the store does not answer"),
    STORE_REGAINED(2225, Level.INFO, "the store answers again"),
    CLOCK_JUMPED(2226, Level.WARN, "clocks parted; proofs of freshness are dropped"),
    PROOF_EXPIRED(2227, Level.WARN, "catalog is not known to be the newest; requests with keys are refused"),
    PROOF_REGAINED(2228, Level.INFO, "catalog is known to be the newest again"),
    PEER_FOUND(2230, Level.INFO, "router found"),
    PEER_LOST(2231, Level.INFO, "router silent"),
    PEER_MESSAGE_REFUSED(2232, Level.WARN, "message of a router refused"),
    SERVER_EXCLUDED(2233, Level.INFO, "failing backend server gets no new work for a while"),
    REGISTRATION_FAILED(2234, Level.WARN, "this router's registration failed"),
    REQUEST_FAILED(2235, Level.ERROR, "request could not be handled"),
    SETTINGS_RELOADED(2236, Level.INFO, "settings read again"),
}
