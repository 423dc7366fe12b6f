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
 * @property declareDeadAt when a suspected member is declared dead.
 * @property checkAt when a suspected member is probed once more.
 * @property bracket relation of the member's time of sending to local time, learned from an acknowledged probe.
 */
internal class MemberRow(
    var member: Member,
    var changedAt: Timestamp,
    var declareDeadAt: Timestamp = Timestamp.DISTANT_FUTURE,
    var checkAt: Timestamp = Timestamp.DISTANT_FUTURE,
    var bracket: SendingTime? = null,
    var isGone: Boolean = false,
)

/** The member's process had run [peerMilliseconds] at some moment not before [notBefore] in local time. */
internal class SendingTime(
    val peerMilliseconds: Long,
    val notBefore: Timestamp,
)

/** What [MemberTable.apply] did with a claim. */
internal enum class UpdateResult { IGNORED, CHANGED, FULL }

/** Members other than this router, with the precedence of claims and snapshots that need no lock. */
internal class MemberTable(maximumRows: Int) {
    private val table = Table<RouterId, MemberRow>("members", "MembershipController", maximumRows, LockRank.MEMBERS)

    /** Counts changes that readers of [live] or [known] can see. */
    @Volatile
    var version: Long = 0
        private set

    /** Members that are alive or suspected. */
    @Volatile
    var live: List<Member> = emptyList()
        private set

    /** Every member. */
    @Volatile
    var known: List<Member> = emptyList()
        private set

    /** Members that are suspected. */
    var suspects: List<Member> = emptyList()
        private set

    /** Hash over the claims about live members, equal at two nodes that agree. */
    var fingerprint: Int = 0
        private set

    val rows: Map<RouterId, MemberRow> get() = table.entries

    fun <R> locked(block: () -> R): R = table.locked(block)

    operator fun get(router: RouterId): MemberRow? = table[router]

    /** Applies a claim about another router. */
    fun apply(update: MemberUpdate, now: Timestamp): UpdateResult {
        val row = table[update.router]
        if (row != null && !update.supersedes(row.member)) return UpdateResult.IGNORED
        val member = update.toMember(row?.member) ?: return UpdateResult.IGNORED
        if (row == null) {
            if (update.state == MemberState.LEFT) return UpdateResult.IGNORED
            if (!table.put(update.router, MemberRow(member, now))) return UpdateResult.FULL
        } else {
            if (row.member.incarnation != member.incarnation) row.bracket = null
            row.member = member.copy(revision = row.member.revision)
            row.changedAt = now
            row.isGone = row.isGone && !member.isLive
        }
        publish()
        return UpdateResult.CHANGED
    }

    /** Notes the document revision that [router] reported. */
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
        fingerprint = live.sumOf { it.claimHash() }
        version++
    }
}

/** Hash of what a claim says; a suspicion does not count, since it is either refuted or becomes final. */
internal fun Member.claimHash(): Int = claimHash(router, incarnation, version)

private fun claimHash(router: RouterId, incarnation: Incarnation, version: Int): Int {
    val mixed = (router.hashCode() * HASH_FACTOR + incarnation.value.hashCode()) * HASH_FACTOR + version
    return mixed xor (mixed ushr HASH_SHIFT)
}

private const val HASH_FACTOR = 0x9E3779B1.toInt()
private const val HASH_SHIFT = 15
