package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.ServerProcess
import azuredale.directory.process

/**
 * What server processes say of themselves in their answers to this router.
 *
 * A process that says that it leaves gets no more requests from this router, whatever the store says. Other routers are
 * not told: each learns it from the store or from its first answer, and a single wrong answer cannot empty a pool for
 * the whole fleet.
 */
internal class ServerAnnouncements {
    private val leaving = LinkedHashSet<ServerProcess>()

    /** Records that [server] says that it leaves; returns whether this is new. */
    fun recordLeaving(server: BackendEntry): Boolean {
        if (leaving.size >= MAXIMUM_PROCESSES) leaving.remove(leaving.first())
        return leaving.add(server.process)
    }

    /** Whether [server] may get a request. */
    fun allowsRequest(server: BackendEntry): Boolean = server.process !in leaving

    private companion object {
        /** Bounds memory; more processes than leave a large fleet within hours. */
        const val MAXIMUM_PROCESSES = 4_096
    }
}
