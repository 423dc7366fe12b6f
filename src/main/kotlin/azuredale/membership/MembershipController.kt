package azuredale.membership

import azuredale.identity.NetworkAddress
import azuredale.node.NodeEffect
import azuredale.protocol.Confirmation
import azuredale.protocol.ProbeKind
import azuredale.protocol.ProbeMessage
import azuredale.time.Timestamp
import kotlin.random.Random

/**
 * SWIM-style failure detector: direct and indirect probes, suspicions that the suspected router can refute, and
 * updates piggybacked on probes within a byte budget.
 *
 * ```
 * val callbacks = MembershipCallbacks(revision = documents::revision)
 * val membership = MembershipController(self, settings.seeds, random, callbacks)
 * perform(membership.tick(clock()))
 * ```
 *
 * @param initial initial state of this router, which must be [MemberState.ALIVE].
 * @param seeds probe addresses of routers to join through. This router's own address is ignored.
 */
public class MembershipController(
    initial: Member,
    seeds: List<NetworkAddress>,
    private val random: Random,
    private val callbacks: MembershipCallbacks = MembershipCallbacks(),
    private val options: MembershipOptions = MembershipOptions(),
) {
    private val seeds = seeds.filter { it != initial.probeAddress }
    private val table = MemberTable(options.maximumMembers)
    private val updateBudget = ByteTokenBucket(options.updateBytesPerSecond, options.updateBurstBytes)
    private val pageBudget = ByteTokenBucket(options.pageBytesPerSecond, options.pageBurstBytes)
    private val gossip = GossipQueue(updateBudget)
    private val probes = ProbeTracker(options, random)
    private val sync = MemberTableSync(options)
    private val updateHandler = MemberUpdateHandler(initial, table, gossip, options, callbacks.onEvent)
    private val datagrams = DatagramBuilder(updateHandler, table, gossip, options, callbacks)
    private var nextProbeAt = Timestamp.DISTANT_PAST
    private var nextDeadProbeAt = Timestamp.DISTANT_PAST
    private var lastTickAt: Timestamp? = null

    /** Current state of this router. */
    public val self: Member get() = updateHandler.self.copy(revision = datagrams.lastRevision)

    /** Alive and suspected members, including this router. */
    public fun members(): List<Member> = table.live + self

    /** All known members in any state, including this router. */
    public fun allKnown(): List<Member> = table.known + self

    /** Number of routers in the fleet: all except those that left, or that are dead and missing from the VM list. */
    public fun fleetSize(): Int = 1 + updateHandler.fleetMemberCount

    /** Counter that increases with every visible change of a member. */
    public val version: Long get() = table.version + updateHandler.selfChanges

    /** Whether any member changed since [version] had the value [earlier]. */
    public fun hasChangedSince(earlier: Long): Boolean = version != earlier

    /** Number of datagrams whose source address differed from the known address of their sender. */
    @Volatile
    public var mismatchedSenders: Long = 0
        private set

    /** Handles a datagram received from [from]. */
    public fun datagramReceived(from: NetworkAddress, message: ProbeMessage, now: Timestamp): List<NodeEffect> {
        if (message.sender == updateHandler.self.router || updateHandler.hasLeft) return emptyList()
        val context = datagrams.context(now)
        var confirmation = Confirmation.NONE
        val effects =
            table.locked {
                val isNews = message.kind != ProbeKind.MEMBER_PIECE || sync.hasJoined
                message.updates.forEach { updateHandler.apply(it, now, forward = isNews) }
                if (isMismatched(from, message)) return@locked null
                answer(from, message, context).also { confirmation = datedConfirmation(message, now) }
            } ?: return emptyList()
        return effects + callbacks.onConfirmation(confirmation, message.sender, message.revision, now)
    }

    /** Runs the timers. Must be called every 20 ms. */
    public fun tick(now: Timestamp): List<NodeEffect> {
        if (updateHandler.hasLeft) return emptyList()
        val context = datagrams.context(now)
        return table.locked {
            detectPause(now)
            updateBudget.refill(now)
            pageBudget.refill(now)
            updateHandler.expireSuspicions(now)
            buildList {
                probes.takeOverdue(now).forEach { (sequence, probe) ->
                    addAll(sendIndirectProbes(sequence, probe, context))
                }
                probes
                    .takeTimedOut(now)
                    .mapNotNull { updateHandler.suspect(it, now) }
                    .forEach { add(datagrams.ping(it, probes.nextSequence(), context)) }
                updateHandler
                    .takeReprobes(now)
                    .filter { isReprober() }
                    .forEach { add(datagrams.ping(it, probes.nextSequence(), context)) }
                if (now >= nextProbeAt) addAll(probeNext(context))
                if (now >= nextDeadProbeAt) addAll(probeDead(context))
                if (sync.tryRequest(now)) addAll(requestPage(context))
            }
        }
    }

    /** Compares members with the platform's VM list, which may be outdated; [live] and [leaving] are its addresses. */
    public fun virtualMachinesListed(
        live: Set<NetworkAddress>,
        leaving: Set<NetworkAddress>,
        now: Timestamp,
    ): List<NodeEffect> = table.locked {
        updateHandler.virtualMachinesListed(live + leaving, now)
        emptyList()
    }

    /** Announces that this router no longer accepts new work. */
    public fun drain(now: Timestamp): List<NodeEffect> = announce(now) { updateHandler.drain() }

    /** Announces that this router is shutting down. */
    public fun leave(now: Timestamp): List<NodeEffect> = announce(now) { updateHandler.leave() }

    /** Whether this router probes a suspected member again; chosen at random, so that a few routers do. */
    private fun isReprober(): Boolean = random.nextInt(table.live.size + 1) < EXPECTED_REPROBERS

    private fun announce(now: Timestamp, change: () -> Unit): List<NodeEffect> {
        val context = datagrams.context(now)
        return table.locked {
            change()
            table.live
                .shuffled(random)
                .take(ANNOUNCE_RECIPIENTS)
                .map { datagrams.ping(it, probes.nextSequence(), context) }
        }
    }

    private fun isMismatched(from: NetworkAddress, message: ProbeMessage): Boolean {
        val known = table[message.sender]?.member ?: return false
        if (known.probeAddress == from) return false
        mismatchedSenders++
        callbacks.onEvent(MembershipLogEvent.SENDER_MISMATCH, message.sender, "from $from")
        return true
    }

    private fun answer(from: NetworkAddress, message: ProbeMessage, context: SendContext): List<NodeEffect> {
        val now = context.now
        table.reportRevision(message.sender, message.revision)
        return when (message.kind) {
            ProbeKind.PING -> listOf(acknowledge(from, message, context))
            ProbeKind.ACKNOWLEDGEMENT -> acknowledged(message, context)
            ProbeKind.INDIRECT_PING -> relay(from, message, context)
            ProbeKind.INDIRECT_ACKNOWLEDGEMENT -> {
                message.target?.let { probes.acknowledge(message.sequence, it) }
                emptyList()
            }
            ProbeKind.JOIN -> page(from, message, context)
            ProbeKind.MEMBER_PIECE -> {
                sync.pageReceived(message.target, now)
                emptyList()
            }
        }
    }

    private fun acknowledge(from: NetworkAddress, message: ProbeMessage, context: SendContext): NodeEffect {
        val nonAliveSender = table[message.sender]?.member?.takeIf { it.state != MemberState.ALIVE }
        // Newer updates are returned directly, since gossip alone took 20 s after a partition of 390 nodes.
        val newer =
            updateHandler
                .newerThan(message.updates)
                .take(MAXIMUM_CORRECTIONS)
                .filter {
                    it === updateHandler.self ||
                        updateBudget.tryConsume(it.toUpdate(withProfile = false).estimatedBytes())
                }
        val directUpdates = listOfNotNull(nonAliveSender) + newer
        return datagrams.build(
            from,
            ProbeKind.ACKNOWLEDGEMENT,
            message.sequence,
            context,
            directUpdates = directUpdates,
        )
    }

    private fun acknowledged(message: ProbeMessage, context: SendContext): List<NodeEffect> {
        val relayed = probes.acknowledgeRelayed(message.sequence, message.sender)
        if (relayed != null) {
            return listOf(
                datagrams.build(
                    relayed.origin,
                    ProbeKind.INDIRECT_ACKNOWLEDGEMENT,
                    relayed.originSequence,
                    context,
                    target = relayed.target,
                ),
            )
        }
        val probe = probes.acknowledge(message.sequence, message.sender) ?: return emptyList()
        table[message.sender]?.clockReference = ClockReference(message.sentMilliseconds, probe.sentAt)
        sync.recordComparison(message.sender, message.fingerprint == datagrams.fingerprint(), context.now)
        return emptyList()
    }

    private fun relay(from: NetworkAddress, message: ProbeMessage, context: SendContext): List<NodeEffect> {
        val target = message.target?.let { table[it]?.member } ?: return emptyList()
        val sequence = probes.relay(target.router, from, message.sequence, context.now) ?: return emptyList()
        return listOf(datagrams.ping(target, sequence, context))
    }

    private fun page(from: NetworkAddress, message: ProbeMessage, context: SendContext): List<NodeEffect> {
        val page = updateHandler.page(message.target, datagrams.updateCapacityBytes)
        if (!pageBudget.tryConsume(page.bytes)) return emptyList()
        return listOf(
            datagrams.build(from, ProbeKind.MEMBER_PIECE, message.sequence, context, page.next, updates = page.updates),
        )
    }

    private fun sendIndirectProbes(sequence: Long, probe: PendingProbe, context: SendContext): List<NodeEffect> =
        table.live
            .filter { it.state == MemberState.ALIVE && it.router != probe.target }
            .shuffled(random)
            .take(options.indirectProbes)
            .map { datagrams.build(it.probeAddress, ProbeKind.INDIRECT_PING, sequence, context, target = probe.target) }

    private fun probeNext(context: SendContext): List<NodeEffect> {
        nextProbeAt =
            maxOf(nextProbeAt, context.now.plusMilliseconds(-options.probeIntervalMilliseconds))
                .plusMilliseconds(options.probeIntervalMilliseconds)
        val target = probes.nextTarget(table.live) { table[it]?.member } ?: return emptyList()
        return listOf(datagrams.ping(target, probes.begin(target.router, context.now), context))
    }

    private fun probeDead(context: SendContext): List<NodeEffect> {
        nextDeadProbeAt = context.now.plusMilliseconds(options.deadProbeIntervalMilliseconds)
        val dead = table.known.filter { it.state == MemberState.DEAD }
        val unknownSeeds = seeds.filter { seed -> table.known.none { it.probeAddress == seed } }
        val choice = random.nextInt(maxOf(1, dead.size + unknownSeeds.size))
        return when {
            choice < dead.size -> listOf(datagrams.ping(dead[choice], probes.nextSequence(), context))
            unknownSeeds.isEmpty() -> emptyList()
            else ->
                listOf(
                    datagrams.joinRequest(
                        unknownSeeds[choice - dead.size],
                        probes.nextSequence(),
                        sync.position,
                        context,
                    ),
                )
        }
    }

    private fun requestPage(context: SendContext): List<NodeEffect> {
        val source = sync.source?.let { table[it]?.member }?.takeIf { it.isLive }
        sync.clearSource()
        val candidates = table.live.map { it.probeAddress }.ifEmpty { seeds }
        val address = source?.probeAddress ?: candidates.randomOrNull(random) ?: return emptyList()
        return listOf(datagrams.joinRequest(address, probes.nextSequence(), sync.position, context))
    }

    /** Returns the confirmation in [message] with its age at [now], or none if the time of sending is not known. */
    private fun datedConfirmation(message: ProbeMessage, now: Timestamp): Confirmation {
        val confirmation = message.confirmation ?: return Confirmation.NONE
        val clockReference = table[message.sender]?.clockReference ?: return Confirmation.NONE
        val sentAt =
            clockReference.earliestLocalTime.plusMilliseconds(
                message.sentMilliseconds - clockReference.peerUptimeMilliseconds,
            )
        val sinceReference = now.microsecondsSince(clockReference.earliestLocalTime)
        val transitMicroseconds = now.microsecondsSince(sentAt) + sinceReference / CLOCK_DRIFT_DIVISOR
        val milliseconds = transitMicroseconds / Timestamp.MICROSECONDS_PER_MILLISECOND + 1
        return confirmation.copy(ageMilliseconds = confirmation.ageMilliseconds + milliseconds)
    }

    private fun detectPause(now: Timestamp) {
        val gap = lastTickAt?.let { now.microsecondsSince(it) } ?: 0
        lastTickAt = now
        if (gap < options.pauseThresholdMilliseconds * Timestamp.MICROSECONDS_PER_MILLISECOND) return
        callbacks.onEvent(MembershipLogEvent.PROCESS_PAUSED, updateHandler.self.router, "paused for $gap us")
        probes.postpone(gap)
        updateHandler.postponeSuspicions(gap)
    }

    private companion object {
        /**
         * Expected number of routers that probe a suspected member again. Without the second probe, a process paused
         * for 600 ms in a fleet of 8 was declared dead in 1 of 10 runs.
         */
        const val EXPECTED_REPROBERS = 8

        /** Maximum number of newer updates returned to the sender of a ping. */
        const val MAXIMUM_CORRECTIONS = 8

        /** Number of members that are told of a drain or leave directly, in addition to gossip. */
        const val ANNOUNCE_RECIPIENTS = 8

        /** The clocks of two VMs drift apart by less than 200 parts per million. */
        const val CLOCK_DRIFT_DIVISOR = 5_000
    }
}
