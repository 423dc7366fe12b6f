package azuredale.gateway

import azuredale.logging.EventLog
import azuredale.time.Timestamp

/**
 * Withholds the readiness of a crowded router while others have room for its callers.
 *
 * Load pattern: callers of a few teams keep to one small VM and send it several times what it can serve, while the
 * rest of the fleet is idle. They ignore address answers that leave the router out, but go elsewhere while it is not
 * ready. A router whose readiness is withheld serves what still comes to it. One that is crowded again soon after its
 * callers came back stays unready for longer each time, so that they settle at a VM that bears them.
 *
 * @param hasRoomElsewhere whether the other routers can take the callers of all crowded ones.
 */
internal class CrowdRelief(
    private val log: EventLog,
    private val hasRoomElsewhere: () -> Boolean,
) {
    private var nextCheckAt = Timestamp.DISTANT_PAST
    private var heldUntil = Timestamp.DISTANT_PAST
    private var forgetAt = Timestamp.DISTANT_PAST

    /** How often the router was crowded again soon after its callers had come back. */
    private var returns = 0

    /** Whether callers should find the router not ready. */
    var isWithheld = false
        private set

    /** Decides anew at [now] if the last decision is old. */
    fun update(isCrowded: Boolean, now: Timestamp) {
        if (now < nextCheckAt || (!isCrowded && !isWithheld)) return
        nextCheckAt = now.plusMilliseconds(CHECK_MILLISECONDS)
        val before = isWithheld
        isWithheld = (isCrowded || now < heldUntil) && hasRoomElsewhere()
        if (isWithheld && !before) hold(now)
        if (isWithheld) forgetAt = now.plusMilliseconds(SETTLED_MILLISECONDS)
        if (isWithheld == before) return
        log.write(
            if (isWithheld) GatewayLogEvent.READINESS_WITHHELD else GatewayLogEvent.READINESS_RESTORED,
            "returns" to returns,
        )
    }

    private fun hold(now: Timestamp) {
        returns = if (now < forgetAt) (returns + 1).coerceAtMost(MAXIMUM_RETURNS) else 0
        heldUntil = now.plusMilliseconds(FIRST_HOLD_MILLISECONDS shl returns)
    }

    private companion object {
        /** A quarter of the time after which the platform and callers ask again. */
        const val CHECK_MILLISECONDS = 250L

        /** Longer than callers use an address that is no longer named. */
        const val FIRST_HOLD_MILLISECONDS = 5_000L

        /** Callers that are back for this long without a crowd have settled. */
        const val SETTLED_MILLISECONDS = 10_000L

        /** The longest hold is eight times the first one. */
        const val MAXIMUM_RETURNS = 3
    }
}
