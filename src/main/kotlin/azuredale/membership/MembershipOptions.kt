package azuredale.membership

import kotlin.math.ceil
import kotlin.math.ln

/**
 * Intervals, timeouts (in milliseconds) and limits of the failure detector.
 *
 * @property probeIntervalMilliseconds interval between probes; each probes one member.
 * @property indirectProbeDelayMilliseconds time to wait for a direct acknowledgement before indirect probes are sent.
 * @property indirectProbes number of members that are asked to probe a target that did not answer.
 * @property minimumSuspicionMilliseconds minimum time for a suspected member to refute the suspicion.
 * @property suspicionMillisecondsPerDoubling time to refute a suspicion per doubling of the fleet size. The number of
 *   rounds until a refutation has reached every member grows with the logarithm of the fleet size.
 * @property deadProbeIntervalMilliseconds interval between probes of dead members, which reunite the fleet after a
 *   partition.
 * @property joinIntervalMilliseconds interval between join attempts while no other member answers.
 * @property pageIntervalMilliseconds minimum time between two requests for pages of a member table.
 * @property syncIntervalMilliseconds minimum time between two table synchronisations that this node starts.
 * @property pauseThresholdMilliseconds a longer gap between two ticks counts as a pause of this process.
 * @property maximumDatagramBytes maximum size of a datagram without IP and UDP headers, chosen to avoid IP
 *   fragmentation.
 * @property updateBytesPerSecond rate limit of piggybacked updates. The burst of [updateBurstBytes] covers the loss and
 *   return of half of 390 members.
 * @property pageBytesPerSecond rate limit of member table pages sent to others, with a burst of [pageBurstBytes].
 * @property maximumMembers maximum number of other members in the table.
 */
public data class MembershipOptions(
    val probeIntervalMilliseconds: Long = 300,
    val indirectProbeDelayMilliseconds: Long = 100,
    val indirectProbes: Int = 3,
    val minimumSuspicionMilliseconds: Long = 700,
    val suspicionMillisecondsPerDoubling: Long = 220,
    val deadProbeIntervalMilliseconds: Long = 1_000,
    val joinIntervalMilliseconds: Long = 500,
    val pageIntervalMilliseconds: Long = 100,
    val syncIntervalMilliseconds: Long = 10_000,
    val pauseThresholdMilliseconds: Long = 200,
    val maximumDatagramBytes: Int = 1_200,
    val updateBytesPerSecond: Int = 700,
    val updateBurstBytes: Int = 60_000,
    val pageBytesPerSecond: Int = 300,
    val pageBurstBytes: Int = 40_000,
    val maximumMembers: Int = 1_024,
) {
    /** Time in milliseconds after which a suspected member is declared dead, in a fleet of [members]. */
    internal fun suspicionMilliseconds(members: Int): Long =
        maxOf(minimumSuspicionMilliseconds, (suspicionMillisecondsPerDoubling * doublings(members)).toLong())

    /**
     * Number of times that a node sends an update in a fleet of [members]. With n transmissions per node, about one
     * node in e^n misses the update.
     */
    internal fun transmissions(members: Int): Int =
        maxOf(MINIMUM_TRANSMISSIONS, ceil(TRANSMISSIONS_PER_DOUBLING * doublings(members)).toInt())

    private fun doublings(members: Int): Double = ln(members + 1.0) / ln(2.0)

    private companion object {
        const val MINIMUM_TRANSMISSIONS = 6
        const val TRANSMISSIONS_PER_DOUBLING = 1.2
    }
}
