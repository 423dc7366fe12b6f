package azuredale.freshness

import azuredale.identity.FailureDomain
import azuredale.time.Timestamp

/**
 * The failure domains that operators have evacuated.
 *
 * @property revision revision of the store at which the table was read; it orders tables.
 */
public data class EvacuationTable(
    val revision: Long,
    val domains: Set<FailureDomain>,
)

/**
 * The newest known [EvacuationTable] and its proof of freshness.
 *
 * The table stays in force when its proof is old, so that a router without the store keeps to what it knows.
 *
 * @param boundMilliseconds maximum time for which a server of an evacuated failure domain may get new requests after
 *   the store confirmed the evacuation; null if operators evacuate none, so that no table is needed.
 * @param onChange called with the domains before and after each change of the table.
 */
internal class Evacuations(
    private val boundMilliseconds: Long?,
    private val onChange: (before: Set<FailureDomain>, after: Set<FailureDomain>) -> Unit,
) {
    /** The newest known table, null before the first one is known. */
    var table: EvacuationTable? = null
        private set

    /** When [table] was known to be the newest one. */
    var provenAt: Timestamp = Timestamp.DISTANT_PAST
        private set

    /** Whether this router knows enough to send requests. */
    val isKnown: Boolean get() = boundMilliseconds == null || table != null

    /** Whether servers of [domain] may get no requests. */
    fun isEvacuated(domain: FailureDomain): Boolean = table?.domains?.contains(domain) == true

    /** Whether the table is certain to show every evacuation that is older than the bound. */
    fun isFresh(now: Timestamp): Boolean = boundMilliseconds == null ||
        now.microsecondsSince(provenAt) <=
        (boundMilliseconds - MARGIN_MILLISECONDS) * Timestamp.MICROSECONDS_PER_MILLISECOND

    /**
     * Adopts [read] if it is newer than the known table. It was the newest one at [at], or at an unknown time if that
     * is [Timestamp.DISTANT_PAST].
     *
     * A table of a higher revision contains all that was confirmed before the proof of a lower one, so proofs of either
     * hold for the newer table.
     */
    fun adopt(read: EvacuationTable, at: Timestamp) {
        if (boundMilliseconds == null) return
        provenAt = maxOf(provenAt, at)
        val known = table
        if (known != null && read.revision <= known.revision) return
        table = read
        val before = known?.domains.orEmpty()
        if (before != read.domains) onChange(before, read.domains)
    }

    /** Discards the proof of freshness; the table stays in force. */
    fun invalidateProof() {
        provenAt = Timestamp.DISTANT_PAST
    }

    private companion object {
        /** Covers the transit of a request to the server, and a short pause before it is written. */
        const val MARGIN_MILLISECONDS = 300L
    }
}
