package azuredale.freshness

import azuredale.identity.FailureDomain
import azuredale.store.StorePoint
import azuredale.time.Timestamp

/**
 * The failure domains that operators have evacuated.
 *
 * @property point point in the store's history at which the table was read; it orders tables.
 */
public data class EvacuationTable(
    val point: StorePoint,
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
    /** The newest known table as it was read, null before the first one is known. */
    var table: EvacuationTable? = null
        private set

    /** When [table] was known to be the newest one. */
    var provenAt: Timestamp = Timestamp.DISTANT_PAST
        private set

    /** Domains that were evacuated in earlier eras, which the store may have lost. */
    private var retained = emptySet<FailureDomain>()

    /** The domains whose servers may get no requests. */
    val domains: Set<FailureDomain>
        get() {
            val evacuated = table?.domains.orEmpty()
            return if (retained.isEmpty()) evacuated else evacuated + retained
        }

    /** Whether this router knows enough to send requests. */
    val isKnown: Boolean get() = boundMilliseconds == null || table != null

    /** Whether servers of [domain] may get no requests. */
    fun isEvacuated(domain: FailureDomain): Boolean = table?.domains?.contains(domain) == true || domain in retained

    /** Whether the table is certain to show every evacuation that is older than the bound. */
    fun isFresh(now: Timestamp): Boolean = boundMilliseconds == null ||
        now.microsecondsSince(provenAt) <=
        (boundMilliseconds - MARGIN_MILLISECONDS) * Timestamp.MICROSECONDS_PER_MILLISECOND

    /**
     * Adopts [read] if it is not older than the known table. It was the newest one at [at], or at an unknown time if
     * that is [Timestamp.DISTANT_PAST].
     *
     * A later table contains all that was confirmed before the proof of an earlier one, so proofs of either hold for
     * the later one. A store that has returned from an older copy may have lost evacuations, so domains of earlier eras
     * stay evacuated until a table is adopted that was read after the present era [isSettled].
     */
    fun adopt(read: EvacuationTable, at: Timestamp, isSettled: Boolean) {
        if (boundMilliseconds == null) return
        val before = domains
        val known = table
        provenAt = maxOf(provenAt, at)
        when {
            known == null || read.point >= known.point -> {
                if (known != null && read.point.era > known.point.era) retained += known.domains
                table = read
            }
            read.point.era < known.point.era -> retained += read.domains
        }
        if (isSettled) retained = emptySet()
        val after = domains
        if (before != after) onChange(before, after)
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
