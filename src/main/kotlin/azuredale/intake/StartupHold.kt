package azuredale.intake

import azuredale.time.Timestamp

/**
 * Holds back the readiness of a router on a small VM after its start, until it keeps up.
 *
 * Such a process loads and compiles its program for seconds. Callers that keep to one router return as soon as it is
 * ready; beside that work it begins few of their requests, which other routers can serve meanwhile.
 *
 * @param weight size of the VM in cores.
 */
internal class StartupHold(
    startedAt: Timestamp,
    weight: Double,
) {
    private val knowsFleetAt = startedAt.plusMilliseconds(FIRST_REPORTS_MILLISECONDS)
    private val latest = startedAt.plusMilliseconds(LONGEST_MILLISECONDS)
    private var calmAt = startedAt.plusMilliseconds(CALM_MILLISECONDS)
    private var isOver = weight >= SMALL_WEIGHT

    /** Records that periodic work ran [lagMilliseconds] late, and whether the router has loaded all its tables. */
    fun record(lagMilliseconds: Long, isLoaded: Boolean, now: Timestamp) {
        if (isOver) return
        if (!isLoaded || lagMilliseconds >= LATE_MILLISECONDS) calmAt = now.plusMilliseconds(CALM_MILLISECONDS)
        isOver = now >= minOf(calmAt, latest)
    }

    /**
     * Whether the router had better not be ready at [now].
     *
     * @param knownWeight size of all known routers with this one, in cores.
     * @param readyWeight size of the other routers that are ready.
     */
    fun isHeld(knownWeight: Double, readyWeight: Double, now: Timestamp): Boolean =
        !isOver && (now < knowsFleetAt || readyWeight >= knownWeight * MINIMUM_READY_FRACTION)

    private companion object {
        /** Smaller VMs take seconds to load the program. */
        const val SMALL_WEIGHT = 1.0

        /** A large part of the time that an idle server takes to answer. */
        const val LATE_MILLISECONDS = 50L

        /** Time without a delay after which the program counts as loaded; its compiler works on after the last one. */
        const val CALM_MILLISECONDS = 2_000L

        /** Time in which a router hears from all others. */
        const val FIRST_REPORTS_MILLISECONDS = 2_000L

        /** A router that is slow for longer is needed all the same. */
        const val LONGEST_MILLISECONDS = 5_000L

        /** Part of the fleet that serves the callers meanwhile; with less, each router is needed at once. */
        const val MINIMUM_READY_FRACTION = 0.5
    }
}
