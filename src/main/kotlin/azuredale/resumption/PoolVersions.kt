package azuredale.resumption

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.directory.ServerDirectory
import azuredale.identity.PoolId
import azuredale.identity.SoftwareVersion
import azuredale.time.Timestamp

/**
 * What a router says to others of a pool whose servers have had several software versions lately.
 *
 * @property notedAt when the store was last known to have a note of the pool, null if it never was.
 */
internal data class MixedPool(
    val pool: PoolId,
    val notedAt: Timestamp?,
)

/**
 * The software versions of the servers of each pool, from this router's own directories and from other routers.
 *
 * A version counts for [LIFETIME_MILLISECONDS] after its last server has gone: streams that it began may be taken up so
 * long. A pool with more than one version is mixed.
 *
 * @param announcementMilliseconds time after which every other router knows of a version that this one knows of.
 */
internal class PoolVersions(private val announcementMilliseconds: Long) {
    private class Version(val seenAt: Timestamp) {
        var goneAt: Timestamp? = null
        var isAnnounced = false
    }

    private class Pool {
        val versions = LinkedHashMap<SoftwareVersion, Version>()

        /** Versions of the servers that accept requests. */
        var ready: Set<SoftwareVersion> = emptySet()

        /** Until when the pool counts as mixed because another router says so. */
        var reportedUntil = Timestamp.DISTANT_PAST

        /** Until when the pool counts as mixed because the store said so when this router started. */
        var presumedUntil = Timestamp.DISTANT_PAST

        /** When the store was last known to have a note of the pool. */
        var notedAt = Timestamp.DISTANT_PAST

        /** When the pool began to be mixed, or ceased to be. */
        var changedAt = Timestamp.DISTANT_PAST
        var isMixed = false
        var hasNote = false

        /** Until when the note counts as present, since a store may be restored from an older copy. */
        val notedUntil: Timestamp
            get() = if (hasNote) notedAt.plusMilliseconds(NOTE_MILLISECONDS) else Timestamp.DISTANT_PAST
    }

    private val pools = HashMap<PoolId, Pool>()

    /** Time of the first directory; what happened before is unknown to this router. */
    var observedSince: Timestamp? = null
        private set

    /** Observes [directory]; returns the pools that have become mixed. */
    fun update(directory: ServerDirectory, now: Timestamp): List<PoolId> {
        val isFirst = observedSince == null
        if (isFirst) observedSince = now
        val servers = directory.entries.values.groupBy { it.pool }
        servers.keys.forEach { pools.getOrPut(it) { Pool() } }
        pools.forEach { (id, pool) -> observe(pool, servers[id].orEmpty(), isFirst, now) }
        return refresh(now)
    }

    private fun observe(pool: Pool, servers: List<BackendEntry>, isFirst: Boolean, now: Timestamp) {
        pool.ready = servers.filter { it.state == BackendState.READY }.mapTo(HashSet()) { it.softwareVersion }
        val present = servers.mapTo(HashSet()) { it.softwareVersion }
        present.forEach { name ->
            val version = pool.versions.getOrPut(name) { Version(now) }
            version.goneAt = null
            // Other routers know of the versions that a router finds at its start.
            if (isFirst || pool.versions.size == 1) version.isAnnounced = true
        }
        pool.versions.forEach { (name, version) ->
            if (name !in present && version.goneAt == null) version.goneAt = now
        }
    }

    /** Applies what another router reports; returns the pools that have become mixed. */
    fun reported(mixed: List<MixedPool>, now: Timestamp): List<PoolId> {
        if (mixed.isEmpty()) return emptyList()
        mixed.forEach { row ->
            val pool = pools[row.pool] ?: return@forEach
            pool.reportedUntil = now.plusMilliseconds(REPORT_MILLISECONDS)
            row.notedAt?.let { noted(row.pool, it) }
        }
        return refresh(now)
    }

    /** Forgets what has expired; returns the pools that have become mixed. */
    fun refresh(now: Timestamp): List<PoolId> {
        val changed = ArrayList<PoolId>()
        pools.forEach { (id, pool) ->
            pool.versions.values.removeIf { version ->
                version.goneAt?.let { now >= it.plusMilliseconds(LIFETIME_MILLISECONDS) } ?: false
            }
            val isMixed = isMixedHere(pool, now) || now < pool.reportedUntil
            if (isMixed != pool.isMixed) {
                pool.isMixed = isMixed
                pool.changedAt = now
                if (isMixed) changed += id
            }
            announce(pool, now)
        }
        return changed
    }

    private fun isMixedHere(pool: Pool, now: Timestamp) = pool.versions.size > 1 || now < pool.presumedUntil

    private fun announce(pool: Pool, now: Timestamp) {
        if (pool.versions.values.all { it.isAnnounced }) return
        if (pool.isMixed && now >= pool.notedUntil) return
        pool.versions.values.forEach { version ->
            if (now >= version.seenAt.plusMilliseconds(announcementMilliseconds)) version.isAnnounced = true
        }
    }

    /** Whether streams of [pool] may have been begun by servers of several versions. */
    fun isMixed(pool: PoolId): Boolean = pools[pool]?.isMixed == true

    /** The only version of [pool]; null if there is none, or if there are several. */
    fun onlyVersion(pool: PoolId): SoftwareVersion? = pools[pool]
        ?.takeIf { !it.isMixed }
        ?.versions
        ?.keys
        ?.singleOrNull()

    /**
     * The versions at which new streams of [pool] may begin, null if all may.
     *
     * A version is left out until all routers know of it and the store has a note, as long as other servers are ready.
     */
    fun beginning(pool: PoolId): Set<SoftwareVersion>? {
        val known = pools[pool] ?: return null
        if (known.versions.values.all { it.isAnnounced }) return null
        val announced = known.ready.filterTo(HashSet()) { known.versions[it]?.isAnnounced == true }
        return announced.takeIf { it.isNotEmpty() }
    }

    /** The mixed pools, for reports to other routers: not those that it knows from reports only. */
    fun mixedPools(now: Timestamp): List<MixedPool> = pools.entries
        .filter { isMixedHere(it.value, now) }
        .map { (id, pool) -> MixedPool(id, pool.notedAt.takeIf { pool.hasNote }) }

    /** Records that the store had a note of [pool] at [at]. */
    fun noted(pool: PoolId, at: Timestamp) {
        val known = pools[pool] ?: return
        known.hasNote = true
        known.notedAt = maxOf(known.notedAt, at)
    }

    /**
     * Records that the store had a note of [pool] at [at], after this router had started; returns the pools that have
     * become mixed. What was before this router's first directory counts for as long as streams may be taken up.
     */
    fun noteFound(pool: PoolId, at: Timestamp, now: Timestamp): List<PoolId> {
        noted(pool, at)
        pools[pool]?.presumedUntil = settledAt()
        return refresh(now)
    }

    /** When all streams from before this router's first directory have ended. */
    fun settledAt(): Timestamp = observedSince?.plusMilliseconds(LIFETIME_MILLISECONDS) ?: Timestamp.DISTANT_FUTURE

    /** Records that the store has no note of [pool] any more. */
    fun noteRemoved(pool: PoolId) {
        pools[pool]?.hasNote = false
    }

    /** Records that the store may have lost its notes; those of mixed pools are to be written again. */
    fun notesLost() = pools.values.forEach { if (it.versions.size > 1) it.hasNote = false }

    /** A mixed pool of which the store has no note, as far as known, with the time since when. */
    fun unnoted(now: Timestamp): Pair<PoolId, Timestamp>? = pools.entries
        .firstOrNull { it.value.versions.size > 1 && now >= it.value.notedUntil }
        ?.let { it.key to maxOf(it.value.changedAt, it.value.notedUntil) }

    /** A pool that is no longer mixed, but has a note in the store, with the time since when. */
    fun outlived(): Pair<PoolId, Timestamp>? = pools.entries
        .firstOrNull { it.value.hasNote && !it.value.isMixed }
        ?.let { it.key to it.value.changedAt }

    companion object {
        /** Longer than callers wait for a stream, from its first event to their last retry. */
        const val LIFETIME_MILLISECONDS = 30_000L

        /** Several periods of reports; then the pool is mixed only if this router's directories show it. */
        private const val REPORT_MILLISECONDS = 5_000L

        /** A note is written again after this time, in case the store was restored from an older copy. */
        private const val NOTE_MILLISECONDS = 10_000L
    }
}
