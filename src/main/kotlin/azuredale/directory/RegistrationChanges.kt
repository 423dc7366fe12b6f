package azuredale.directory

import azuredale.identity.ServerId
import azuredale.store.StorePoint
import azuredale.time.Timestamp

/**
 * Registration of one server as of a point in the store's history.
 *
 * @property entry the registration, null if it is gone.
 * @property point point at which the registration was read.
 */
internal class RegistrationChange(
    val id: ServerId,
    val entry: BackendEntry?,
    val point: StorePoint,
)

/** Registrations that changed lately, for reports to routers that would otherwise read the store. */
internal class RecentRegistrations {
    private val changes = LinkedHashMap<ServerId, Recorded>()
    private var latest = ServerDirectory.EMPTY
    private var round = 0

    /**
     * Records how [directory] differs from the one of the previous call.
     *
     * @param isOwnRead whether this router read the store itself, rather than learned [directory] from another router.
     */
    fun update(directory: ServerDirectory, isOwnRead: Boolean, now: Timestamp) {
        val before = latest
        round++
        if (directory === before) return
        latest = directory
        changes.values.removeIf { now >= it.until }
        if (directory.digest == before.digest) return
        directory.entries.values.forEach { if (before.entries[it.id] != it) record(it.id, it, isOwnRead, now) }
        before.entries.keys.forEach { if (it !in directory.entries) record(it, null, isOwnRead, now) }
    }

    /** Returns the changes for a report, of which [maximum] take turns in each round; only own reads if [isOwnRead]. */
    fun select(maximum: Int, isOwnRead: Boolean, now: Timestamp): List<RegistrationChange> {
        changes.values.removeIf { now >= it.until }
        val current = changes.values.filter { it.isOwnRead || !isOwnRead }
        if (current.size <= maximum) return current.map { it.change }
        return List(maximum) { current[(round * maximum + it) % current.size].change }
    }

    private fun record(id: ServerId, entry: BackendEntry?, isOwnRead: Boolean, now: Timestamp) {
        val change = RegistrationChange(id, entry, latest.point)
        changes[id] = Recorded(change, isOwnRead, now.plusMilliseconds(REPEAT_MILLISECONDS))
    }

    private class Recorded(
        val change: RegistrationChange,
        val isOwnRead: Boolean,
        val until: Timestamp,
    )

    private companion object {
        /** Five regular reports of a relay, so that a few may be lost, or arrive while the receiver stands still. */
        const val REPEAT_MILLISECONDS = 1_000L
    }
}

/**
 * Completes a copy of the directory by the changes that other routers pass on.
 *
 * A change may arrive in parts and in any order, and the copy may be of any age: the result is used only if it is
 * exactly the directory that the sender announces.
 */
internal class DirectoryAssembler {
    private val pending = LinkedHashMap<ServerId, RegistrationChange>()

    /** Returns the directory announced as [target] if [base] and the changes received so far result in it. */
    fun assemble(base: ServerDirectory, changes: List<RegistrationChange>, target: DirectoryVersion): ServerDirectory? {
        pending.values.removeIf { it.point <= base.point }
        changes.forEach { change ->
            val known = pending[change.id]
            val isNewer = known == null || change.point > known.point
            if (change.point > base.point && isNewer && pending.size < MAXIMUM_PENDING) {
                pending[change.id] = change
            }
        }
        if (target.point <= base.point || pending.isEmpty()) return null
        val entries = LinkedHashMap(base.entries)
        pending.values.forEach { change ->
            if (change.point > target.point) return null
            if (change.entry == null) entries -= change.id else entries[change.id] = change.entry
        }
        if (entries.size != target.servers) return null
        return ServerDirectory(target.point, entries).takeIf { it.digest == target.digest }
    }

    private companion object {
        /** Exceeds the largest supported fleet of 800 servers, each of which may be replaced. */
        const val MAXIMUM_PENDING = 2_048
    }
}

/** Identifies a snapshot of the directory at [point] by the number of its [servers] and its [digest]. */
internal class DirectoryVersion(
    val point: StorePoint,
    val servers: Int,
    val digest: Int,
)
