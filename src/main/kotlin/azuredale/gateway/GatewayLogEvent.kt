package azuredale.gateway

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events 2200 to 2299: request handling and coordination of a router on the platform. */
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
    HEAD_MALFORMED(2214, Level.INFO, "malformed request head"),
    CATALOG_ADOPTED(2220, Level.INFO, "catalog adopted"),
    CATALOG_REFUSED(2221, Level.ERROR, "stored catalog cannot be decoded; the previous one stays in force"),
    DIRECTORY_CHANGED(2222, Level.INFO, "backend server registration changed"),
    ENTRY_MALFORMED(2223, Level.WARN, "malformed registration of a backend server ignored"),
    STORE_LOST(2224, Level.WARN, "store unavailable"),
    STORE_REGAINED(2225, Level.INFO, "store available again"),
    CLOCK_JUMPED(2226, Level.WARN, "clock jump detected; proofs of freshness discarded"),
    PROOF_EXPIRED(2227, Level.WARN, "catalog freshness not confirmed in time; requests that need a key are refused"),
    PROOF_REGAINED(2228, Level.INFO, "catalog freshness confirmed again"),
    PEER_FOUND(2230, Level.INFO, "peer router alive"),
    PEER_LOST(2231, Level.INFO, "peer router stopped reporting"),
    PEER_MESSAGE_REFUSED(2232, Level.WARN, "datagram from a peer router rejected"),
    SERVER_EXCLUDED(2233, Level.INFO, "failing backend server temporarily excluded"),
    REGISTRATION_FAILED(2234, Level.WARN, "registration of this router failed"),
    REQUEST_FAILED(2235, Level.ERROR, "unexpected error while handling a request"),
    SERVER_LIMITED(2237, Level.INFO, "backend server named another request limit"),
    TEAMS_CONTEND(2238, Level.INFO, "teams contend for capacity"),
    ROUTER_LOAD(2239, Level.INFO, "router load"),
    ROUTER_OVERLOADED(2240, Level.WARN, "router cannot keep up; callers are sent to others"),
    SERVER_LEAVING(2241, Level.INFO, "backend server says that it leaves"),
    SERVER_ON_HOLD(2242, Level.INFO, "backend server wants no requests for a while"),
    UNEXPECTED_BYTES(2243, Level.INFO, "backend server sent bytes that belong to no request; connection closed"),
    SERVER_OUT_OF_MEMORY(2250, Level.WARN, "backend server ended while requests needed more memory than it has"),
    ROOM_LACKING(2251, Level.INFO, "requests refused because no server has room in its memory"),
    SETTINGS_RELOADED(2236, Level.INFO, "settings reloaded"),
}
