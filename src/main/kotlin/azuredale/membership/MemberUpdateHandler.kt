package azuredale.membership

import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId
import azuredale.time.Timestamp

/** One page of the member table. [next] is the last router on the page, or null if it is the last page. */
internal class MemberPage(
    val updates: List<MemberUpdate>,
    val next: RouterId?,
    val bytes: Int,
)

/** Applies updates about other members, and refutes updates that wrongly report this router as failed. */
internal class MemberUpdateHandler(
    initial: Member,
    private val table: MemberTable,
    private val gossip: GossipQueue,
    private val options: MembershipOptions,
    private val onEvent: (MembershipLogEvent, RouterId, String) -> Unit,
) {
    /** The current state of this router, as it is announced to other members. */
    @Volatile
    var self: Member = initial
        private set

    /** Number of changes made to [self]. */
    @Volatile
    var selfChanges: Long = 0
        private set

    val hasLeft: Boolean get() = self.state == MemberState.LEFT

    /** Number of other routers in the fleet. Dead routers count until the platform no longer lists their VM. */
    @Volatile
    var fleetMemberCount: Int = 0
        private set

    init {
        gossip.add(self.toUpdate(withProfile = true))
    }

    /** Applies [update]; if it changes the table and [forward] is set, queues it for other routers. */
    fun apply(update: MemberUpdate, now: Timestamp, forward: Boolean) {
        if (update.router == self.router) return applyToSelf(update)
        val before = table[update.router]?.member
        when (table.apply(update, now)) {
            UpdateResult.IGNORED -> return gossip.recordDuplicate(update)
            UpdateResult.FULL -> return onEvent(MembershipLogEvent.TABLE_FULL, update.router, "")
            UpdateResult.CHANGED -> Unit
        }
        val row = checkNotNull(table[update.router])
        scheduleSuspicion(row, update.state, now)
        val isKnownProcess = before != null && before.incarnation == update.incarnation
        if (forward) gossip.add(if (isKnownProcess) update.copy(profile = null) else update)
        if (before?.state != update.state || !isKnownProcess) {
            onEvent(eventOf(update.state), update.router, "incarnation ${update.incarnation} version ${update.version}")
        }
        recount()
    }

    /** Marks [router] as suspected after an unanswered probe and returns it, or null if it was not alive. */
    fun suspect(router: RouterId, now: Timestamp): Member? {
        val member = table[router]?.member?.takeIf { it.state == MemberState.ALIVE } ?: return null
        apply(member.copy(state = MemberState.SUSPECT).toUpdate(withProfile = false), now, forward = true)
        return table[router]?.member
    }

    /** Returns members whose state here supersedes an entry of [updates], starting with this router's refutation. */
    fun newerThan(updates: List<MemberUpdate>): List<Member> {
        val isRefuted = updates.any { it.router == self.router && it.state != MemberState.ALIVE }
        val known = updates.mapNotNull { update -> table[update.router]?.member?.takeIf { it.supersedes(update) } }
        return listOfNotNull(self.takeIf { isRefuted }) + known
    }

    /** Declares suspected members dead if they did not refute the suspicion in time. */
    fun expireSuspicions(now: Timestamp) {
        table.live
            .filter { it.state == MemberState.SUSPECT }
            .filter { member -> table[member.router]?.let { it.declareDeadAt <= now } == true }
            .forEach { apply(it.copy(state = MemberState.DEAD).toUpdate(withProfile = false), now, forward = true) }
    }

    /** Returns each suspected member once, when half of its time to refute the suspicion has passed. */
    fun takeReprobes(now: Timestamp): List<Member> = table.suspects
        .mapNotNull { table[it.router] }
        .filter { it.reprobeAt <= now }
        .onEach { it.reprobeAt = Timestamp.DISTANT_FUTURE }
        .map { it.member }

    /** Extends the deadlines of suspected members by the time for which this process was paused. */
    fun postponeSuspicions(microseconds: Long): Unit = table.suspects
        .mapNotNull { table[it.router] }
        .forEach { it.declareDeadAt = it.declareDeadAt.plusMicroseconds(microseconds) }

    fun drain() {
        if (!self.isDraining) updateSelf(self.copy(isDraining = true))
    }

    fun leave() {
        if (!hasLeft) updateSelf(self.copy(state = MemberState.LEFT))
    }

    /** Returns the members that follow [after] in name order, as many as fit into [maximumBytes] bytes. */
    fun page(after: RouterId?, maximumBytes: Int): MemberPage {
        val updates = ArrayList<MemberUpdate>()
        var bytes = 0
        val remaining =
            (table.known + self)
                .filter { it.state != MemberState.LEFT && (after == null || it.router.name > after.name) }
                .sortedBy { it.router.name }
        for (member in remaining) {
            val update = member.toUpdate(withProfile = true)
            if (bytes + update.estimatedBytes() > maximumBytes) break
            bytes += update.estimatedBytes()
            updates += update
        }
        val next = if (updates.size < remaining.size) updates.lastOrNull()?.router else null
        return MemberPage(updates, next, bytes)
    }

    /** Records which members the platform lists, and removes members that ended long ago. */
    fun virtualMachinesListed(listed: Set<NetworkAddress>, now: Timestamp) {
        // An empty list is a platform error, because it does not even contain this VM.
        if (listed.isEmpty()) return
        table.rows.values.filter { it.member.state == MemberState.DEAD }.forEach { row ->
            val member = row.member
            val isListed = isListed(member, listed)
            // The list is updated with a delay, so a member that died recently may not have been listed yet.
            row.isUnlisted = !isListed && now.secondsSince(row.changedAt) > UNLISTED_AFTER_SECONDS
        }
        table.removeWhere { row ->
            val isEnded = row.isUnlisted || row.member.state == MemberState.LEFT
            isEnded && now.secondsSince(row.changedAt) > REMOVED_AFTER_SECONDS
        }
        recount()
    }

    /** The platform lists VMs by IP address; an entry with port 0 matches every port. */
    private fun isListed(member: Member, listed: Set<NetworkAddress>): Boolean =
        listOf(member.peerAddress, member.probeAddress, member.callerAddress).any { address ->
            address in listed || address.copy(port = 0) in listed
        }

    private fun applyToSelf(update: MemberUpdate) {
        when {
            update.incarnation > self.incarnation ->
                onEvent(MembershipLogEvent.DUPLICATE_ROUTER, self.router, "other incarnation ${update.incarnation}")

            update.incarnation < self.incarnation -> gossip.add(self.toUpdate(withProfile = true))

            update.state != MemberState.ALIVE && update.version >= self.version && !hasLeft -> {
                onEvent(MembershipLogEvent.SUSPICION_REFUTED, self.router, "reported state ${update.state}")
                updateSelf(self.copy(version = update.version))
            }
        }
    }

    private fun updateSelf(changed: Member) {
        self = changed.copy(version = changed.version + 1)
        selfChanges++
        gossip.add(self.toUpdate(withProfile = false))
    }

    private fun recount() {
        fleetMemberCount = table.rows.values.count { it.member.state != MemberState.LEFT && !it.isUnlisted }
    }

    private fun scheduleSuspicion(row: MemberRow, state: MemberState, now: Timestamp) {
        val milliseconds = options.suspicionMilliseconds(table.live.size + 1)
        val isSuspect = state == MemberState.SUSPECT
        row.declareDeadAt = if (isSuspect) now.plusMilliseconds(milliseconds) else Timestamp.DISTANT_FUTURE
        row.reprobeAt = if (isSuspect) now.plusMilliseconds(milliseconds / 2) else Timestamp.DISTANT_FUTURE
    }

    private fun eventOf(state: MemberState): MembershipLogEvent = when (state) {
        MemberState.ALIVE -> MembershipLogEvent.MEMBER_ALIVE
        MemberState.SUSPECT -> MembershipLogEvent.MEMBER_SUSPECT
        MemberState.DEAD -> MembershipLogEvent.MEMBER_DEAD
        MemberState.LEFT -> MembershipLogEvent.MEMBER_LEFT
    }

    private companion object {
        const val UNLISTED_AFTER_SECONDS = 30.0
        const val REMOVED_AFTER_SECONDS = 300.0
    }
}
