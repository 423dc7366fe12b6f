package azuredale.membership

import azuredale.blackboard.LockRank
import azuredale.blackboard.Table
import azuredale.identity.Incarnation
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.time.Timestamp

/**
 * One row of the member table.
 *
 * @property declareDeadAt time at which a suspected member is declared dead.
 * @property reprobeAt time at which a suspected member is probed again.
 * @property clockReference relation between the member's clock and local time, derived from an acknowledged probe.
 * @property isUnlisted whether the member is dead and the platform no longer lists its VM.
 */
internal class MemberRow(
    var member: Member,
    var changedAt: Timestamp,
    var declareDeadAt: Timestamp = Timestamp.DISTANT_FUTURE,
    var reprobeAt: Timestamp = Timestamp.DISTANT_FUTURE,
    var clockReference: ClockReference? = null,
    var isUnlisted: Boolean = false,
)

/** The member's process had run for [peerUptimeMilliseconds] at local time [earliestLocalTime] or later. */
internal class ClockReference(
    val peerUptimeMilliseconds: Long,
    val earliestLocalTime: Timestamp,
)

/** Result of [MemberTable.apply]. */
internal enum class UpdateResult { IGNORED, CHANGED, FULL }

/** Members other than this router. Snapshots of the members can be read without holding the lock. */
internal class MemberTable(maximumRows: Int) {
    private val table = Table<RouterId, MemberRow>("members", "MembershipController", maximumRows, LockRank.MEMBERS)

    /** Incremented with every change that is visible in [live] or [known]. */
    @Volatile
    var version: Long = 0
        private set

    /** Members that are alive or suspected. */
    @Volatile
    var live: List<Member> = emptyList()
        private set

    /** All members in the table, whatever their state. */
    @Volatile
    var known: List<Member> = emptyList()
        private set

    /** Members that are suspected. */
    var suspects: List<Member> = emptyList()
        private set

    /** Hash of the state of live members. Two nodes with the same view have the same hash. */
    var fingerprint: Int = 0
        private set

    val rows: Map<RouterId, MemberRow> get() = table.entries

    fun <R> locked(block: () -> R): R = table.locked(block)

    operator fun get(router: RouterId): MemberRow? = table[router]

    /** Applies an update about another router if it is newer than the stored state. */
    fun apply(update: MemberUpdate, now: Timestamp): UpdateResult {
        val row = table[update.router]
        if (row != null && !update.supersedes(row.member)) return UpdateResult.IGNORED
        val member = update.toMember(row?.member) ?: return UpdateResult.IGNORED
        if (row == null) {
            if (update.state == MemberState.LEFT) return UpdateResult.IGNORED
            if (!table.put(update.router, MemberRow(member, now))) return UpdateResult.FULL
        } else {
            if (row.member.incarnation != member.incarnation) row.clockReference = null
            row.member = member.copy(revision = row.member.revision)
            row.changedAt = now
            row.isUnlisted = row.isUnlisted && !member.isLive
        }
        publish()
        return UpdateResult.CHANGED
    }

    /** Records the document revision that [router] reported. */
    fun reportRevision(router: RouterId, revision: Revision) {
        val row = table[router] ?: return
        if (row.member.revision == revision) return
        row.member = row.member.copy(revision = revision)
        publish()
    }

    fun removeWhere(predicate: (MemberRow) -> Boolean) {
        val before = table.size
        table.removeWhere { _, row -> predicate(row) }
        if (table.size != before) publish()
    }

    private fun publish() {
        known = table.entries.values.map { it.member }
        live = known.filter { it.isLive }
        suspects = live.filter { it.state == MemberState.SUSPECT }
        fingerprint = live.sumOf { it.stateHash() }
        version++
    }
}

/** Hash of this member's state. Suspicion is left out, since it ends soon by refutation or a declaration of death. */
internal fun Member.stateHash(): Int = stateHash(router, incarnation, version)

private fun stateHash(router: RouterId, incarnation: Incarnation, version: Int): Int {
    val mixed = (router.hashCode() * HASH_FACTOR + incarnation.value.hashCode()) * HASH_FACTOR + version
    return mixed xor (mixed ushr HASH_SHIFT)
}

private const val HASH_FACTOR = 0x9E3779B1.toInt()
private const val HASH_SHIFT = 15
