package azuredale.freshness

import azuredale.directory.BackendState
import azuredale.directory.ServerDirectory
import azuredale.directory.ServerProcess
import azuredale.directory.process
import azuredale.time.Timestamp

/**
 * Servers that began to drain, or left, within the time that a copy of the store may be old.
 *
 * A store that has returned from such a copy shows them as ready until their registrations expire.
 */
internal class DepartedServers {
    private val departures = LinkedHashMap<ServerProcess, Timestamp>()
    private var returnedUntil = Timestamp.DISTANT_PAST

    /** Records that the store has returned from a copy, as a read sent at [now] shows. */
    fun recordReturn(now: Timestamp) {
        forgetEarly(now)
        returnedUntil = now.plusMilliseconds(EXPIRY_MILLISECONDS)
    }

    /**
     * Records what [read] shows to have departed since [before], the directory read previously, at [now].
     *
     * @param hasExpired whether registrations of live servers may have expired in an outage of the store.
     */
    fun record(before: ServerDirectory, read: ServerDirectory, hasExpired: Boolean, now: Timestamp) {
        forgetEarly(now)
        before.entries.values.forEach { entry ->
            val wasReady = entry.state == BackendState.READY
            val hasLeft = entry.id !in read.entries && !hasExpired
            val isDraining = entry.id in read.entries && !read.isReady(entry.id)
            if (wasReady && (hasLeft || isDraining)) departures[entry.process] = now
        }
        // A server that the copy shows as ready, and later reads as well, has not come back.
        read.entries.values.forEach { entry ->
            val wasReady = before.entries[entry.id]?.state == BackendState.READY
            if (entry.state == BackendState.READY && !wasReady) departures -= entry.process
        }
    }

    /** Returns [directory] with the departed servers as draining, if that is in force at [now]. */
    fun applyTo(directory: ServerDirectory, now: Timestamp): ServerDirectory {
        if (now >= returnedUntil || directory.entries.values.none { it.process in departures }) return directory
        val entries =
            directory.entries.mapValues { (_, entry) ->
                if (entry.process in departures) entry.copy(state = BackendState.DRAINING) else entry
            }
        return ServerDirectory(directory.point, entries)
    }

    private fun forgetEarly(now: Timestamp) {
        departures.values.removeIf { now >= it.plusMilliseconds(COPY_AGE_MILLISECONDS) }
    }

    private companion object {
        /** Exceeds the seconds by which a copy is older than the store. */
        const val COPY_AGE_MILLISECONDS = 30_000L

        /** Registrations of servers that are silent expire within four seconds. */
        const val EXPIRY_MILLISECONDS = 5_000L
    }
}
