package azuredale.membership

import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.time.Timestamp
import kotlin.random.Random

/** A probe sent by this router that has not been acknowledged yet. */
internal class PendingProbe(
    val target: RouterId,
    val sentAt: Timestamp,
    var indirectProbeAt: Timestamp,
    var deadline: Timestamp,
)

/** An indirect probe sent on behalf of the router at [origin]. */
internal class RelayedProbe(
    val target: RouterId,
    val origin: NetworkAddress,
    val originSequence: Long,
    val deadline: Timestamp,
)

/** Tracks outstanding probes by sequence number, and selects the members to probe. */
internal class ProbeTracker(
    private val options: MembershipOptions,
    private val random: Random,
) {
    private val pending = LinkedHashMap<Long, PendingProbe>()
    private val relayed = LinkedHashMap<Long, RelayedProbe>()
    private var probeOrder = ArrayDeque<RouterId>()

    // Starts at a random number, so that a late acknowledgement to an earlier process does not match a probe.
    private var lastSequence = random.nextInt().toLong() and 0xFFFFFFFFL

    fun nextSequence(): Long = ++lastSequence

    /** Returns the next member to probe, in random order. Every member is probed once before any is probed again. */
    fun nextTarget(live: List<Member>, byId: (RouterId) -> Member?): Member? {
        repeat(2) {
            while (probeOrder.isNotEmpty()) {
                val member = byId(probeOrder.removeFirst())
                if (member != null && member.isLive) return member
            }
            probeOrder = ArrayDeque(live.map { it.router }.shuffled(random))
        }
        return null
    }

    fun begin(target: RouterId, now: Timestamp): Long {
        val sequence = nextSequence()
        pending[sequence] =
            PendingProbe(
                target,
                now,
                now.plusMilliseconds(options.indirectProbeDelayMilliseconds),
                now.plusMilliseconds(options.probeIntervalMilliseconds),
            )
        return sequence
    }

    /** Registers a probe on behalf of another router; returns null if too many are outstanding. */
    fun relay(target: RouterId, origin: NetworkAddress, originSequence: Long, now: Timestamp): Long? {
        if (relayed.size >= MAXIMUM_RELAYED) return null
        val sequence = nextSequence()
        relayed[sequence] =
            RelayedProbe(target, origin, originSequence, now.plusMilliseconds(options.probeIntervalMilliseconds))
        return sequence
    }

    /** Ends the probe of [target] with number [sequence]; returns null if there is none, as after a timeout. */
    fun acknowledge(sequence: Long, target: RouterId): PendingProbe? =
        pending[sequence]?.takeIf { it.target == target }?.also { pending.remove(sequence) }

    /** Ends the relayed probe of [target] with number [sequence]; returns null if there is none. */
    fun acknowledgeRelayed(sequence: Long, target: RouterId): RelayedProbe? =
        relayed[sequence]?.takeIf { it.target == target }?.also { relayed.remove(sequence) }

    /** Returns each probe once, when the time for a direct acknowledgement has passed. */
    fun takeOverdue(now: Timestamp): Map<Long, PendingProbe> = pending
        .filterValues { it.indirectProbeAt <= now }
        .onEach { it.value.indirectProbeAt = Timestamp.DISTANT_FUTURE }

    /** Ends the probes that have timed out, relayed ones included, and returns the targets that did not answer. */
    fun takeTimedOut(now: Timestamp): List<RouterId> {
        relayed.values.removeIf { it.deadline <= now }
        val failed = pending.filterValues { it.deadline <= now }
        pending.keys.removeAll(failed.keys)
        return failed.values.map { it.target }
    }

    /** Extends the deadlines of outstanding probes after a pause of this process, during which no answer was read. */
    fun postpone(microseconds: Long): Unit = pending.values.forEach {
        it.deadline = it.deadline.plusMicroseconds(microseconds)
        it.indirectProbeAt = it.indirectProbeAt.plusMicroseconds(microseconds)
    }

    private companion object {
        const val MAXIMUM_RELAYED = 256
    }
}
