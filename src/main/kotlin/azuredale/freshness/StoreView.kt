package azuredale.freshness

import azuredale.catalog.Catalog
import azuredale.catalog.CatalogMark
import azuredale.directory.ServerDirectory
import azuredale.gateway.FleetBounds
import azuredale.identity.FailureDomain
import azuredale.identity.RouterId
import azuredale.time.Timestamp

/**
 * Proof of freshness: the known version of a table was the newest at the given time.
 *
 * @property at when the confirming read was sent, on this router's monotonic clock.
 * @property reader the router that sent the read, null if it was this one.
 */
internal data class FreshnessProof(
    val at: Timestamp,
    val reader: RouterId? = null,
) {
    /** Whether the version is certain to show every change that is older than [bound] milliseconds at [now]. */
    fun holds(bound: Long, now: Timestamp): Boolean =
        now.microsecondsSince(at) <= bound * Timestamp.MICROSECONDS_PER_MILLISECOND

    /** Milliseconds since the proof, null if there is none. */
    fun ageMilliseconds(now: Timestamp): Long? = at
        .takeIf { it > Timestamp.DISTANT_PAST }
        ?.let { now.microsecondsSince(it) / Timestamp.MICROSECONDS_PER_MILLISECOND }
}

/**
 * Local copy of the store's tables: the catalog and the server directory, each with its latest proof of freshness.
 *
 * Neither a late response nor a store that has returned from an older copy replaces the catalog by an older version.
 *
 * @property history the era of the store's history.
 * @param onEvacuationChange called with the evacuated failure domains before and after each change.
 */
internal class StoreView(
    private val bounds: FleetBounds,
    val history: StoreHistory = StoreHistory(firstStartAt = null, bounds.contactMilliseconds),
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
    private val departedServers = DepartedServers()

    /** The directory as last read, which is what routers pass on; it contains no retained servers. */
    val readDirectory: ServerDirectory get() = lastReadDirectory

    /** Digest of the directory as last read; routers compare it to detect differences. */
    val directoryDigest: Int get() = lastReadDirectory.digest

    /** Latest proof of freshness for [catalog]. */
    var catalogProof: FreshnessProof = NO_PROOF
        private set

    /** Latest proof of freshness for [directory]. */
    var directoryProof: FreshnessProof = NO_PROOF
        private set

    /** Identifies [catalog]. */
    val catalogMark: CatalogMark get() = catalog?.mark ?: CatalogMark.NONE

    /** The newest catalog that any router is known to have had, which the store may have lost. */
    var newestMark: CatalogMark = CatalogMark.NONE
        private set

    /** Whether the catalog is certain to reflect every key revocation that is older than the revocation bound. */
    fun isCatalogFresh(now: Timestamp): Boolean =
        catalogProof.holds(bounds.revocationBoundMilliseconds - REVOCATION_MARGIN_MILLISECONDS, now)

    /** Whether the catalog is certain to reflect every change that is older than the bound on changes, if any. */
    fun isCatalogCurrent(now: Timestamp): Boolean =
        bounds.configurationBoundMilliseconds?.let { catalogProof.holds(it, now) } ?: true

    /** Whether the directory is certain to show every server that left longer ago than the bound on new requests. */
    fun isDirectoryFresh(now: Timestamp): Boolean = directoryProof.holds(drainMilliseconds(bounds), now)

    /**
     * Adopts a catalog from a read sent at [sentAt] if it is newer than the known one, or the same one written again;
     * returns whether it was.
     *
     * A newer catalog contains all changes before it, so the proof of the previous one holds for it as well.
     */
    fun adoptCatalog(read: Catalog, sentAt: Timestamp): Boolean {
        val known = catalogMark
        val isWrittenAgain = read.mark.isSameAs(known) && read.mark.point > known.point
        val isAdopted = read.mark.isNewerThan(known) || isWrittenAgain
        if (isAdopted) catalog = read
        recordMark(read.mark)
        confirmRead(read.mark, sentAt)
        return isAdopted
    }

    /**
     * Records that a router has the catalog identified by [mark].
     *
     * If this shows that the store had lost a newer catalog than the known one when that was read, its proof is void.
     */
    fun recordMark(mark: CatalogMark) {
        val isWrittenAgain = mark.isSameAs(newestMark) && mark.point > newestMark.point
        if (mark.isNewerThan(newestMark) || isWrittenAgain) newestMark = mark
        if (isCatalogLost() && newestMark.point.era < catalogMark.point.era) catalogProof = NO_PROOF
    }

    /** Records that a read sent at [sentAt] found the catalog identified by [read]; it proves that in a settled era. */
    fun confirmRead(read: CatalogMark, sentAt: Timestamp) {
        if (read.point.era == history.era && history.isSettled(sentAt)) confirmCatalog(read, sentAt)
    }

    /**
     * Records that the catalog identified by [proven] was the newest at [at].
     *
     * Ignored unless it is the catalog in force. A catalog that is older than one that any router has had is not the
     * newest, even if the store holds no other.
     *
     * @param reader the router that read it, null if it was this one.
     */
    fun confirmCatalog(proven: CatalogMark, at: Timestamp, reader: RouterId? = null) {
        if (!proven.isSameAs(catalogMark) || isCatalogLost()) return
        if (at > catalogProof.at) catalogProof = FreshnessProof(at, reader)
    }

    /** Whether another router has had a newer catalog in an earlier or a later era than that of [catalog]. */
    private fun isCatalogLost() = newestMark.point.era != catalogMark.point.era && newestMark.isNewerThan(catalogMark)

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
        if (read.point < lastReadDirectory.point) return null
        val isNewEra =
            read.point.era > lastReadDirectory.point.era &&
                lastReadDirectory !== ServerDirectory.EMPTY &&
                !history.isProofOfEra(read.point.era, directoryProof.at)
        val returnedAt = outageUntil ?: sentAt.takeIf { isNewEra }
        if (returnedAt != null && lastReadDirectory !== ServerDirectory.EMPTY) {
            val connectedAt = returnedAt.plusMilliseconds(bounds.contactMilliseconds - DRAIN_MARGIN_MILLISECONDS)
            retainedUntil = minOf(sentAt.plusMilliseconds(RETENTION_MILLISECONDS), connectedAt)
        }
        if (isNewEra) {
            departedServers.recordReturn(sentAt)
        } else {
            departedServers.record(lastReadDirectory, read, hasExpired = sentAt < retainedUntil, sentAt)
        }
        val before = directory
        lastReadDirectory = read
        val usable = departedServers.applyTo(read, sentAt)
        directory = if (sentAt < retainedUntil) withRetained(usable, before) else usable
        directoryProof = FreshnessProof(maxOf(sentAt, directoryProof.at))
        return before
    }

    /** Whether missing or departed servers are no longer retained, so that the directory should be read again. */
    fun isRetentionOver(now: Timestamp): Boolean = now >= retainedUntil &&
        directory !== lastReadDirectory &&
        directory.digest != departedServers.applyTo(lastReadDirectory, now).digest

    private fun withRetained(read: ServerDirectory, before: ServerDirectory): ServerDirectory {
        val addresses = read.entries.values.mapTo(HashSet()) { it.address }
        val retained = before.entries.filter { (id, entry) -> id !in read.entries && entry.address !in addresses }
        return if (retained.isEmpty()) read else ServerDirectory(read.point, retained + read.entries)
    }

    /** Records that the directory with [digest] was the newest at [at]; ignored for another digest. */
    fun confirmDirectory(digest: Int, at: Timestamp) {
        if (digest == directoryDigest && at > directoryProof.at) directoryProof = FreshnessProof(at)
    }

    /** Discards all proofs of freshness, because the time since then is unknown after a clock jump. */
    fun invalidateProofs() {
        catalogProof = catalogProof.copy(at = Timestamp.DISTANT_PAST)
        directoryProof = directoryProof.copy(at = Timestamp.DISTANT_PAST)
        evacuations.invalidateProof()
    }

    companion object {
        private val NO_PROOF = FreshnessProof(Timestamp.DISTANT_PAST)

        /** Longest age, in milliseconds, of a directory by which requests are sent. */
        fun drainMilliseconds(bounds: FleetBounds): Long = bounds.drainBoundMilliseconds - DRAIN_MARGIN_MILLISECONDS

        /** Covers the transit time of a request to the server and the clock drift between routers. */
        private const val REVOCATION_MARGIN_MILLISECONDS = 700L

        /** Covers the transit of a request to the server, and a short pause before it is written. */
        private const val DRAIN_MARGIN_MILLISECONDS = 300L

        /** Servers register again within about two seconds after a store outage. */
        private const val RETENTION_MILLISECONDS = 2_200L
    }
}
