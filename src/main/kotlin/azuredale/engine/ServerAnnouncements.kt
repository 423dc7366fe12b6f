package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.ServerProcess
import azuredale.directory.process
import azuredale.time.Timestamp

/**
 * What server processes say of themselves in their answers to this router: that they leave, or want no requests for a
 * while.
 *
 * A process that says that it leaves gets no more requests from this router, whatever the store says. Other routers are
 * not told: each learns it from the store or from its first answer, and a single wrong answer cannot empty a pool for
 * the whole fleet.
 */
internal class ServerAnnouncements {
    private val leaving = LinkedHashSet<ServerProcess>()
    private val holds = HashMap<ServerProcess, Timestamp>()

    /** Records that [server] says that it leaves; returns whether this is new. */
    fun recordLeaving(server: BackendEntry): Boolean {
        if (leaving.size >= MAXIMUM_PROCESSES) leaving.remove(leaving.first())
        return leaving.add(server.process)
    }

    /** Records that [server] wants no requests for [milliseconds]; returns whether this is later than known before. */
    fun recordHold(server: BackendEntry, milliseconds: Long, now: Timestamp): Boolean {
        val until = now.plusMilliseconds(milliseconds.coerceAtMost(MAXIMUM_HOLD_MILLISECONDS))
        if (until <= availableAt(server, now)) return false
        holds.values.removeIf { it <= now }
        if (holds.size < MAXIMUM_PROCESSES) holds[server.process] = until
        return true
    }

    /** Whether [server] may get a request at [now]. */
    fun allowsRequest(server: BackendEntry, now: Timestamp): Boolean = availableAt(server, now) <= now

    /** From when on [server] takes requests: [now] or later, [Timestamp.DISTANT_FUTURE] if it leaves. */
    fun availableAt(server: BackendEntry, now: Timestamp): Timestamp {
        if (leaving.isEmpty() && holds.isEmpty()) return now
        val process = server.process
        return if (process in leaving) Timestamp.DISTANT_FUTURE else holds[process]?.takeIf { it > now } ?: now
    }

    private companion object {
        /** Bounds memory; more processes than leave a large fleet within hours. */
        const val MAXIMUM_PROCESSES = 4_096

        /** A server that names a longer time is asked again after this one. */
        const val MAXIMUM_HOLD_MILLISECONDS = 60_000L
    }
}
