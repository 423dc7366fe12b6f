package azuredale.gateway

import azuredale.intake.OverloadDetector
import azuredale.intake.RouterWork
import azuredale.intake.SpareCapacity
import azuredale.logging.EventLog
import azuredale.time.Timestamp

/**
 * What this router tells the others of its capacity, and logs of it.
 *
 * @param weight size of the VM in cores.
 * @param onChange called when callers should be sent elsewhere or may come back.
 */
internal class RouterCapacity(
    weight: Double,
    private val log: EventLog,
    private val onChange: () -> Unit,
) {
    private val overload = OverloadDetector()
    private val spare = SpareCapacity(weight)

    /** Spare quarters of the capacity; 0 while the router is crowded. */
    val spareQuarters: Int get() = spare.quarters

    /** Whether the router cannot keep up at [now]. */
    fun isOverloaded(now: Timestamp): Boolean = overload.isOverloaded(now)

    /** Records that a request waits for too long. */
    fun recordDelay(now: Timestamp) = overload.recordDelay(now)

    /** Records what the router has to do at [now]. */
    fun record(work: RouterWork, now: Timestamp) {
        val wasOverloaded = overload.isOverloaded(now)
        overload.recordLag(work.lagMilliseconds, now)
        val isOverloaded = overload.isOverloaded(now)
        if (!wasOverloaded && isOverloaded) {
            log.write(GatewayLogEvent.ROUTER_OVERLOADED, "lag" to work.lagMilliseconds, "running" to work.running)
        }
        val isCrowdChanged = spare.record(work, isOverloaded, now)
        if (isCrowdChanged) {
            log.write(
                if (spareQuarters == 0) GatewayLogEvent.ROUTER_CROWDED else GatewayLogEvent.ROUTER_RELIEVED,
                "lag" to work.lagMilliseconds,
                "waiting" to work.waiting,
                "running" to work.running,
                "connections" to (work.connections * PERCENT).toInt(),
            )
        }
        if (isCrowdChanged || (!wasOverloaded && isOverloaded)) onChange()
    }

    private companion object {
        const val PERCENT = 100
    }
}
