package azuredale.membership

import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.time.Timestamp
import kotlin.random.Random

/** A probe of this router that waits for its acknowledgement. */
internal class PendingProbe(
    val target: RouterId,
    val sentAt: Timestamp,
    var askOthersAt: Timestamp,
    var endsAt: Timestamp,
)

/** A probe made for another router. */
internal class RelayedProbe(
    val target: RouterId,
    val origin: NetworkAddress,
    val originSequence: Long,
    val endsAt: Timestamp,
)

/** Outstanding probes by sequence number, and the order in which members are probed. */
internal class ProbeTracker(
    private val options: MembershipOptions,
    private val random: Random,
) {
    private val pending = LinkedHashMap<Long, PendingProbe>()
    private val relayed = LinkedHashMap<Long, RelayedProbe>()
    private var order = ArrayDeque<RouterId>()

    // Starts at a random number, so that an acknowledgement of an earlier process matches no probe.
    private var lastSequence = random.nextInt().toLong() and 0xFFFFFFFFL

    fun nextSequence(): Long = ++lastSequence

    /** The next member to probe; each is probed once before any is probed again. */
    fun nextTarget(live: List<Member>, byId: (RouterId) -> Member?): Member? {
        repeat(2) {
            while (order.isNotEmpty()) {
                val member = byId(order.removeFirst())
                if (member != null && member.isLive) return member
            }
            order = ArrayDeque(live.map { it.router }.shuffled(random))
        }
        return null
    }

    fun begin(target: RouterId, now: Timestamp): Long {
        val sequence = nextSequence()
        pending[sequence] =
            PendingProbe(
                target,
                now,
                now.plusMilliseconds(options.directMilliseconds),
                now.plusMilliseconds(options.probeMilliseconds),
            )
        return sequence
    }

    /** Notes a probe for another router; null when too many are outstanding. */
    fun relay(target: RouterId, origin: NetworkAddress, originSequence: Long, now: Timestamp): Long? {
        if (relayed.size >= MAXIMUM_RELAYED) return null
        val sequence = nextSequence()
        relayed[sequence] =
            RelayedProbe(target, origin, originSequence, now.plusMilliseconds(options.probeMilliseconds))
        return sequence
    }

    /** Ends the probe of [target] with [sequence]; null when there is none, as for a late or foreign answer. */
    fun acknowledge(sequence: Long, target: RouterId): PendingProbe? =
        pending[sequence]?.takeIf { it.target == target }?.also { pending.remove(sequence) }

    /** Ends the relayed probe of [target] with [sequence]. */
    fun acknowledgeRelayed(sequence: Long, target: RouterId): RelayedProbe? =
        relayed[sequence]?.takeIf { it.target == target }?.also { relayed.remove(sequence) }

    /** Probes whose direct answer is late at [now]; each is returned once. */
    fun takeLate(now: Timestamp): Map<Long, PendingProbe> = pending
        .filterValues { it.askOthersAt <= now }
        .onEach { it.value.askOthersAt = Timestamp.DISTANT_FUTURE }

    /** Targets that did not answer in time; ends their probes and old relayed ones. */
    fun takeFailed(now: Timestamp): List<RouterId> {
        relayed.values.removeIf { it.endsAt <= now }
        val failed = pending.filterValues { it.endsAt <= now }
        pending.keys.removeAll(failed.keys)
        return failed.values.map { it.target }
    }

    /** Moves the deadlines of outstanding probes, after a pause of this process in which answers were not read. */
    fun postpone(microseconds: Long): Unit = pending.values.forEach {
        it.endsAt = it.endsAt.plusMicroseconds(microseconds)
        it.askOthersAt = it.askOthersAt.plusMicroseconds(microseconds)
    }

    private companion object {
        const val MAXIMUM_RELAYED = 256
    }
}
