package azuredale.membership

import kotlin.math.ceil
import kotlin.math.ln

/**
 * Periods (milliseconds) and bounds of the failure detector.
 *
 * @property probeMilliseconds period in which one member is probed.
 * @property directMilliseconds wait for a direct acknowledgement before other members are asked to probe.
 * @property indirectProbes members asked to probe a target that did not answer.
 * @property smallestSuspicionMilliseconds time to refute a suspicion in a small fleet.
 * @property suspicionRoundMilliseconds time to refute per doubling of the fleet, since a refutation spreads in a number
 *   of rounds that grows with the logarithm of the fleet size.
 * @property deadProbeMilliseconds period in which one dead member is probed, which heals partitions.
 * @property joinMilliseconds period of join attempts while no other member is known.
 * @property pieceMilliseconds smallest time between two requests for pieces of a member table.
 * @property pauseMilliseconds a gap between ticks longer than this counts as a pause of this process.
 * @property datagramBytes bound on a datagram without IP and UDP headers; it avoids fragments.
 * @property updateBytesPerSecond budget of piggybacked updates; [updateBurstBytes] can be saved up, which covers the
 *   loss and return of half of 390 members.
 * @property pieceBytesPerSecond budget of pieces of the member table sent to others; [pieceBurstBytes] can be saved up.
 * @property walkMilliseconds smallest time between two full exchanges that this node starts.
 */
public data class MembershipOptions(
    val probeMilliseconds: Long = 300,
    val directMilliseconds: Long = 100,
    val indirectProbes: Int = 3,
    val smallestSuspicionMilliseconds: Long = 700,
    val suspicionRoundMilliseconds: Long = 220,
    val deadProbeMilliseconds: Long = 1_000,
    val joinMilliseconds: Long = 500,
    val pieceMilliseconds: Long = 100,
    val walkMilliseconds: Long = 10_000,
    val pauseMilliseconds: Long = 200,
    val datagramBytes: Int = 1_200,
    val updateBytesPerSecond: Int = 700,
    val updateBurstBytes: Int = 60_000,
    val pieceBytesPerSecond: Int = 300,
    val pieceBurstBytes: Int = 40_000,
    val maximumMembers: Int = 1_024,
) {
    /** Time after which a suspected member of a fleet of [members] is declared dead, in milliseconds. */
    internal fun suspicionMilliseconds(members: Int): Long =
        maxOf(smallestSuspicionMilliseconds, (suspicionRoundMilliseconds * doublings(members)).toLong())

    /** How often one node sends a claim in a fleet of [members]; about one node in e^n misses n transmissions. */
    internal fun transmissions(members: Int): Int =
        maxOf(SMALLEST_TRANSMISSIONS, ceil(TRANSMISSIONS_PER_DOUBLING * doublings(members)).toInt())

    private fun doublings(members: Int): Double = ln(members + 1.0) / ln(2.0)

    private companion object {
        const val SMALLEST_TRANSMISSIONS = 6
        const val TRANSMISSIONS_PER_DOUBLING = 1.2
    }
}
