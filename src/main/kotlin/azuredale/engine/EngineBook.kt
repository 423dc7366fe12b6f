package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.time.Timestamp

/** What this router knows of the backend servers beside their registrations. */
internal class EngineBook(private val cacheTokens: (ServerId) -> Long) {
    private val speeds = HashMap<ServerId, EngineSpeed>()
    private val timings = HashMap<PoolId, PoolTiming>()
    private val failureRecords = HashMap<ServerId, FailureRecord>()
    private val observedAt = HashMap<PoolId, Timestamp>()
    private var starts: Map<ServerId, Long?> = emptyMap()

    /** Work at the servers. */
    val loads = LoadBook()

    /** What their prompt caches probably hold. */
    val cache = PromptCache { (cacheTokens(it) * CACHE_SHARE).toLong() }

    /** Learned speed of [server]. */
    fun speed(server: ServerId): EngineSpeed = speeds.getOrPut(server) { EngineSpeed() }

    /** What the servers of [pool] have in common. */
    fun timing(pool: PoolId): PoolTiming = timings.getOrPut(pool) { PoolTiming() }

    /** Failures of [server]. */
    fun failures(server: ServerId): FailureRecord = failureRecords.getOrPut(server) { FailureRecord() }

    /** Notes that the first event came [milliseconds] after the request, with [tokens] to read until then. */
    fun firstEvent(server: BackendEntry, tokens: Double, milliseconds: Double, now: Timestamp) {
        observedAt[server.pool] = now
        val speed = speed(server.id)
        val timing = timing(server.pool)
        val fixed = timing.fixedMilliseconds
        timing.fixedObserved(milliseconds - tokens * speed.millisecondsPerToken, tokens)
        speed.observed(tokens, milliseconds - fixed)
    }

    /**
     * Forgets the speeds of [pool] when no first event has shown them for a while.
     *
     * A router that stalled sees late events and learns speeds by which it refuses everything; without new events it
     * would never learn better.
     */
    fun forgetUnconfirmed(pool: PoolId, now: Timestamp) {
        val last = observedAt[pool] ?: return
        if (now < last.plusMilliseconds(CONFIRMED_MILLISECONDS)) return
        observedAt.remove(pool)
        timings.remove(pool)
        speeds.clear()
    }

    /** Predicts the first event of a request that leaves [uncachedTokens] to read at [server]. */
    fun predict(server: BackendEntry, uncachedTokens: Int, load: ServerLoad): Double {
        val timing = timing(server.pool)
        val reading = (remainingTokens(load) + uncachedTokens) * speed(server.id).millisecondsPerToken
        val overfull = (load.running + 1 - server.slots).coerceAtLeast(0)
        return timing.fixedMilliseconds + reading + overfull * timing.holdMilliseconds / server.slots.coerceAtLeast(1)
    }

    /**
     * Tokens ahead of a new request: of the requests without a first event the oldest is read in part already, so the
     * fewer wait, the smaller is the part of them that is left.
     */
    fun remainingTokens(load: ServerLoad): Double {
        val waiting = load.waitingTokens.toDouble()
        return waiting * waiting / (waiting + PARTLY_READ_TOKENS)
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
        /** A router of today's size sees tens of first events a second, so this many are missing only after a stall. */
        const val CONFIRMED_MILLISECONDS = 1_000L

        /** The rest of a server's memory holds running requests and parts that are used only once. */
        const val CACHE_SHARE = 0.6

        /** About half of a prompt of usual size. */
        const val PARTLY_READ_TOKENS = 2_000.0
    }
}
