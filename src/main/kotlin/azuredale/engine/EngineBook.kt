package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.identity.ServerId

/** What this router knows of the backend servers beside their registrations. */
internal class EngineBook(private val cacheTokens: (ServerId) -> Long) {
    private val speeds = HashMap<ServerId, EngineSpeed>()
    private val failureRecords = HashMap<ServerId, FailureRecord>()
    private var starts: Map<ServerId, Long?> = emptyMap()

    /** Work at the servers. */
    val loads = LoadBook()

    /** What their prompt caches probably hold. */
    val cache = PromptCache { (cacheTokens(it) * CACHE_SHARE).toLong() }

    /** Learned speed of [server]. */
    fun speed(server: ServerId): EngineSpeed = speeds.getOrPut(server) { EngineSpeed() }

    /** Failures of [server]. */
    fun failures(server: ServerId): FailureRecord = failureRecords.getOrPut(server) { FailureRecord() }

    /** Notes that the first event came [milliseconds] after the request, with [tokens] to read until then. */
    fun firstEvent(server: BackendEntry, tokens: Int, milliseconds: Double) {
        val usual = ServerChooser.FIXED_MILLISECONDS + tokens / ServerChooser.USUAL_TOKENS_PER_MILLISECOND
        speed(server.id).observed(tokens, usual, milliseconds)
    }

    /** Forgets servers that are gone, and what is no longer true of those that have started again. */
    fun directoryChanged(directory: ServerDirectory) {
        val present = directory.entries.keys
        speeds.keys.retainAll(present)
        failureRecords.keys.retainAll(present)
        cache.retain(present)
        directory.entries.values.forEach { entry ->
            if (entry.id in starts && starts[entry.id] != entry.startedAtMilliseconds) {
                cache.forget(entry.id)
                failureRecords.remove(entry.id)
            }
        }
        starts = directory.entries.mapValues { it.value.startedAtMilliseconds }
    }

    private companion object {
        /** The rest of a server's memory holds running requests and parts that are used only once. */
        const val CACHE_SHARE = 0.6
    }
}
