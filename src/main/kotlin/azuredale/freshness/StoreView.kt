package azuredale.freshness

import azuredale.catalog.Catalog
import azuredale.directory.ServerDirectory
import azuredale.gateway.FleetBounds
import azuredale.identity.FailureDomain
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.time.Timestamp

/**
 * Proof of freshness: this version of a table was the newest at the given time.
 *
 * @property version identifies the version of the table.
 * @property at when the confirming read was sent, on this router's monotonic clock.
 * @property reader the router that sent the read, null if it was this one.
 */
internal data class FreshnessProof(
    val version: Long,
    val at: Timestamp,
    val reader: RouterId? = null,
) {
    /** Whether the version is certain to show every change that is older than [bound] milliseconds at [now]. */
    fun holds(bound: Long, now: Timestamp): Boolean =
        now.microsecondsSince(at) <= bound * Timestamp.MICROSECONDS_PER_MILLISECOND
}

/**
 * Local copy of the store's tables: the catalog and the server directory, each with its latest proof of freshness.
 *
 * A late response never replaces the catalog by an older revision.
 *
 * @param onEvacuationChange called with the evacuated failure domains before and after each change.
 */
internal class StoreView(
    private val bounds: FleetBounds,
    onEvacuationChange: (before: Set<FailureDomain>, after: Set<FailureDomain>) -> Unit = { _, _ -> },
) {
    /** The failure domains that operators have evacuated. */
    val evacuations = Evacuations(bounds.evacuationBoundMilliseconds, onEvacuationChange)

    /** The catalog in force, null until the first one has been read. */
    var catalog: Catalog? = null
        private set

    /** The registered servers, including those whose registrations may only have expired during a store outage. */
    var directory: ServerDirectory = ServerDirectory.EMPTY
        private set

    /** The directory as last read, without retained servers. */
    private var lastReadDirectory = ServerDirectory.EMPTY
    private var retainedUntil = Timestamp.DISTANT_PAST

    /** The directory as last read, which is what routers pass on; it contains no retained servers. */
    val readDirectory: ServerDirectory get() = lastReadDirectory

    /** Digest of the directory as last read; routers compare it to detect differences. */
    val directoryDigest: Int get() = lastReadDirectory.digest

    /** Latest proof of freshness for [catalog]. */
    var catalogProof: FreshnessProof = NO_PROOF
        private set

    /** Latest proof of freshness for [directory]; its version is the digest. */
    var directoryProof: FreshnessProof = NO_PROOF
        private set

    /** Revision of [catalog], or [Revision.NONE] if there is none. */
    val revision: Revision get() = catalog?.revision ?: Revision.NONE

    /** Whether the catalog is certain to reflect every key revocation that is older than the revocation bound. */
    fun isCatalogFresh(now: Timestamp): Boolean =
        catalogProof.holds(bounds.revocationBoundMilliseconds - REVOCATION_MARGIN_MILLISECONDS, now)

    /** Whether the catalog is certain to reflect every change that is older than the bound on changes, if any. */
    fun isCatalogCurrent(now: Timestamp): Boolean =
        bounds.configurationBoundMilliseconds?.let { catalogProof.holds(it, now) } ?: true

    /** Whether the directory is certain to show every server that left longer ago than the bound on new requests. */
    fun isDirectoryFresh(now: Timestamp): Boolean =
        directoryProof.holds(bounds.drainBoundMilliseconds - DRAIN_MARGIN_MILLISECONDS, now)

    /** Adopts a catalog from a read sent at [sentAt] if it is newer, and returns whether it was. */
    fun adoptCatalog(read: Catalog, sentAt: Timestamp): Boolean {
        val isNewer = read.revision > revision
        if (isNewer) {
            catalog = read
            catalogProof = NO_PROOF
        }
        confirmCatalog(read.revision, sentAt)
        return isNewer
    }

    /**
     * Records that revision [proven] was the newest at [at]; ignored unless it is the revision in force.
     *
     * @param reader the router that read it, null if it was this one.
     */
    fun confirmCatalog(proven: Revision, at: Timestamp, reader: RouterId? = null) {
        if (proven == revision && at > catalogProof.at) catalogProof = FreshnessProof(proven.value, at, reader)
    }

    /**
     * Adopts the directory from a read sent at [sentAt]; returns the previous one, or null if the read is outdated.
     *
     * Registrations expire during a store outage, and live servers register again within about two seconds after it.
     * Until then, missing servers are retained. But this router alone may have been cut off, and then a missing server
     * has left; so the retention ends before the router counts as connected again after the earliest end of the outage.
     *
     * @param outageUntil earliest time at which an outage of the store since the latest proof of freshness may have
     *   ended, null if there was none.
     */
    fun adoptDirectory(read: ServerDirectory, sentAt: Timestamp, outageUntil: Timestamp?): ServerDirectory? {
        if (read.storeRevision < lastReadDirectory.storeRevision) return null
        if (outageUntil != null && lastReadDirectory !== ServerDirectory.EMPTY) {
            val connectedAt = outageUntil.plusMilliseconds(bounds.contactMilliseconds - DRAIN_MARGIN_MILLISECONDS)
            retainedUntil = minOf(sentAt.plusMilliseconds(RETENTION_MILLISECONDS), connectedAt)
        }
        val before = directory
        lastReadDirectory = read
        directory = if (sentAt < retainedUntil) withRetained(read, before) else read
        directoryProof = FreshnessProof(read.digest.toLong(), maxOf(sentAt, directoryProof.at))
        return before
    }

    /** Whether the retention of missing servers has ended, so that the directory should be read again. */
    fun isRetentionOver(now: Timestamp): Boolean = now >= retainedUntil &&
        directory !== lastReadDirectory &&
        directory.entries.size != lastReadDirectory.entries.size

    private fun withRetained(read: ServerDirectory, before: ServerDirectory): ServerDirectory {
        val addresses = read.entries.values.mapTo(HashSet()) { it.address }
        val retained = before.entries.filter { (id, entry) -> id !in read.entries && entry.address !in addresses }
        return if (retained.isEmpty()) read else ServerDirectory(read.storeRevision, retained + read.entries)
    }

    /** Records that the directory with [digest] was the newest at [at]; ignored for another digest. */
    fun confirmDirectory(digest: Int, at: Timestamp) {
        if (digest == directoryDigest && at > directoryProof.at) directoryProof = FreshnessProof(digest.toLong(), at)
    }

    /** Discards all proofs of freshness, because the time since then is unknown after a clock jump. */
    fun invalidateProofs() {
        catalogProof = catalogProof.copy(at = Timestamp.DISTANT_PAST)
        directoryProof = directoryProof.copy(at = Timestamp.DISTANT_PAST)
        evacuations.invalidateProof()
    }

    private companion object {
        val NO_PROOF = FreshnessProof(0, Timestamp.DISTANT_PAST)

        /** Covers the transit time of a request to the server and the clock drift between routers. */
        const val REVOCATION_MARGIN_MILLISECONDS = 700L

        /** Covers the transit of a request to the server, and a short pause before it is written. */
        const val DRAIN_MARGIN_MILLISECONDS = 300L

        /** Servers register again within about two seconds after a store outage. */
        const val RETENTION_MILLISECONDS = 2_200L
    }
}
