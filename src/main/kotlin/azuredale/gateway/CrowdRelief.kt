package azuredale.gateway

import azuredale.logging.EventLog
import azuredale.time.Timestamp

/**
 * Withholds the readiness of a crowded router while others have room for its callers.
 *
 * Load pattern: callers of a few teams keep to one small VM and send it several times what it can serve, while the
 * rest of the fleet is idle. They ignore address answers that leave the router out, but go elsewhere while it is not
 * ready. A router whose readiness is withheld serves what still comes to it.
 *
 * @param hasRoomElsewhere whether the other routers can take the callers of all crowded ones.
 */
internal class CrowdRelief(
    private val log: EventLog,
    private val hasRoomElsewhere: () -> Boolean,
) {
    private var nextCheckAt = Timestamp.DISTANT_PAST

    /** Whether callers should find the router not ready. */
    var isWithheld = false
        private set

    /** Decides anew at [now] if the last decision is old. */
    fun update(isCrowded: Boolean, now: Timestamp) {
        if (now < nextCheckAt || (!isCrowded && !isWithheld)) return
        nextCheckAt = now.plusMilliseconds(CHECK_MILLISECONDS)
        val before = isWithheld
        isWithheld = isCrowded && hasRoomElsewhere()
        if (isWithheld == before) return
        log.write(if (isWithheld) GatewayLogEvent.READINESS_WITHHELD else GatewayLogEvent.READINESS_RESTORED)
    }

    private companion object {
        /** A quarter of the time after which the platform and callers ask again. */
        const val CHECK_MILLISECONDS = 250L
    }
}
