package azuredale.freshness

import azuredale.catalog.Catalog
import azuredale.directory.ServerDirectory
import azuredale.identity.Revision
import azuredale.time.Timestamp

/**
 * A statement that a table was the newest at a moment.
 *
 * @property version orders versions of the table.
 * @property at when the read was sent that showed it, on this router's steady clock.
 */
internal data class Proof(
    val version: Long,
    val at: Timestamp,
)

/**
 * What this router believes of the store: the catalog and the registered servers, each with the proof that it is the
 * newest. The catalog never goes back, whichever reply comes late.
 */
internal class StoreView(private val revocationBoundMilliseconds: Long) {
    /** The catalog in force, null before the first. */
    var catalog: Catalog? = null
        private set

    /** The registered servers, with those that may only have lapsed while the store was away. */
    var directory: ServerDirectory = ServerDirectory.EMPTY
        private set

    /** The list as it was read last. */
    private var readDirectory = ServerDirectory.EMPTY
    private var lapsedHeldUntil = Timestamp.DISTANT_PAST

    /** Digest of the list as it was read last, which routers compare. */
    val directoryDigest: Int get() = readDirectory.digest

    /** Latest proof that [catalog] is the newest. */
    var catalogProof: Proof = NO_PROOF
        private set

    /** Latest proof that [directory] is the newest; its version is the directory's digest. */
    var directoryProof: Proof = NO_PROOF
        private set

    /** Revision of the catalog, [Revision.NONE] before the first. */
    val revision: Revision get() = catalog?.revision ?: Revision.NONE

    /** Whether the catalog is known to hold every key that was taken away longer ago than the bound allows. */
    fun isCatalogFresh(now: Timestamp): Boolean = now.microsecondsSince(catalogProof.at) <=
        (revocationBoundMilliseconds - REVOCATION_MARGIN_MILLISECONDS) * Timestamp.MICROSECONDS_PER_MILLISECOND

    /** Takes a newer catalog from a read sent at [sentAt]; returns false for one that is not newer. */
    fun catalogRead(read: Catalog, sentAt: Timestamp): Boolean {
        val isNewer = read.revision > revision
        if (isNewer) {
            catalog = read
            catalogProof = NO_PROOF
        }
        catalogProven(read.revision, sentAt)
        return isNewer
    }

    /** Notes that revision [proven] was the newest at [at]; a proof for another revision than the own says nothing. */
    fun catalogProven(proven: Revision, at: Timestamp) {
        if (proven == revision && at > catalogProof.at) catalogProof = Proof(proven.value, at)
    }

    /**
     * Takes the servers from a read sent at [sentAt]; returns the previous ones, or null when the read is older.
     *
     * Registrations lapse while the store is away, and live servers register again within about two seconds of its
     * return; until then a missing server counts as present.
     */
    fun directoryRead(read: ServerDirectory, sentAt: Timestamp): ServerDirectory? {
        if (read.storeRevision < readDirectory.storeRevision) return null
        val wasAway = sentAt.microsecondsSince(directoryProof.at) > AWAY_MICROSECONDS
        if (wasAway && readDirectory !== ServerDirectory.EMPTY) {
            lapsedHeldUntil = sentAt.plusMilliseconds(LAPSED_MILLISECONDS)
        }
        val before = directory
        readDirectory = read
        directory = if (sentAt < lapsedHeldUntil) withLapsed(read, before) else read
        directoryProof = Proof(read.digest.toLong(), maxOf(sentAt, directoryProof.at))
        return before
    }

    /** Whether servers are held that the list lacks and whose time is over, so that the list should be read again. */
    fun isLapseOver(now: Timestamp): Boolean =
        now >= lapsedHeldUntil && directory !== readDirectory && directory.entries.size != readDirectory.entries.size

    private fun withLapsed(read: ServerDirectory, before: ServerDirectory): ServerDirectory {
        val addresses = read.entries.values.mapTo(HashSet()) { it.address }
        val lapsed = before.entries.filter { (id, entry) -> id !in read.entries && entry.address !in addresses }
        return if (lapsed.isEmpty()) read else ServerDirectory(read.storeRevision, lapsed + read.entries)
    }

    /** Notes that servers with [digest] were the newest at [at]. */
    fun directoryProven(digest: Int, at: Timestamp) {
        if (digest == directoryDigest && at > directoryProof.at) directoryProof = Proof(digest.toLong(), at)
    }

    /** Drops all proofs, because the time that has passed since them is not known. */
    fun distrust() {
        catalogProof = catalogProof.copy(at = Timestamp.DISTANT_PAST)
        directoryProof = directoryProof.copy(at = Timestamp.DISTANT_PAST)
    }

    private companion object {
        val NO_PROOF = Proof(0, Timestamp.DISTANT_PAST)

        /** Covers the way of a request to the server and the drift of clocks between routers. */
        const val REVOCATION_MARGIN_MILLISECONDS = 700L

        /** Several times the period of reads; without a proof for so long the store was away for this router. */
        const val AWAY_MICROSECONDS = 1_500_000L

        /** Servers register again within about two seconds of the store's return. */
        const val LAPSED_MILLISECONDS = 2_200L
    }
}
