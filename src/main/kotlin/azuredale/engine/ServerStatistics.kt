package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.time.Timestamp
import kotlin.random.Random

/** Runtime state of the backend servers, as measured by this router and reported by others. */
internal class ServerStatistics(
    routers: () -> Int = { 1 },
    random: () -> Double = Random.Default::nextDouble,
    onLimitChange: (ServerId, requestsPerSecond: Double?) -> Unit = { _, _ -> },
    private val cacheTokens: (ServerId) -> Long,
) {
    private val prefillSpeeds = HashMap<ServerId, PrefillSpeedEstimator>()
    private val latencies = HashMap<PoolId, PoolLatencyEstimator>()
    private val circuitBreakers = HashMap<ServerId, CircuitBreaker>()
    private val lastFirstEventAt = HashMap<PoolId, Timestamp>()
    private var startTimes: Map<ServerId, Long?> = emptyMap()

    /** Outstanding work of the servers. */
    val loads = LoadTracker()

    /** Memory of the servers that requests in progress take. */
    val memory = EngineMemory(loads, cacheTokens)

    /** Which servers have room in it. */
    val room = ServerRoom(memory, loads, routers)

    /** Limits on the request rate that servers name. */
    val limits = ServerLimits(loads, routers, random, onLimitChange)

    /** What servers say of themselves in their answers. */
    val announcements = ServerAnnouncements()

    /** How often these limits, or the servers' memory, left no server for a request. */
    val limitPressure = LimitPressure()

    /** Estimated contents of the servers' prompt caches. */
    val cache = PromptCacheModel { (cacheTokens(it) * CACHE_FRACTION).toLong() }

    /** Estimated prefill speed of [server]. */
    fun prefillSpeed(server: ServerId): PrefillSpeedEstimator =
        prefillSpeeds.getOrPut(server) { PrefillSpeedEstimator() }

    /** Latency estimates shared by the servers of [pool]. */
    fun latency(pool: PoolId): PoolLatencyEstimator = latencies.getOrPut(pool) { PoolLatencyEstimator() }

    /** Failure state of [server]. */
    fun circuitBreaker(server: ServerId): CircuitBreaker = circuitBreakers.getOrPut(server) { CircuitBreaker() }

    /** Records a first event [milliseconds] after the request was sent, with [tokens] to prefill before it. */
    fun recordFirstEvent(server: BackendEntry, tokens: Double, milliseconds: Double, now: Timestamp) {
        lastFirstEventAt[server.pool] = now
        val speed = prefillSpeed(server.id)
        val latency = latency(server.pool)
        val fixed = latency.fixedMilliseconds
        latency.recordFixed(milliseconds - tokens * speed.millisecondsPerToken, tokens)
        speed.record(tokens, milliseconds - fixed)
    }

    /**
     * Resets the latency estimate of [pool] and the speed estimates when the pool has had no first event for a while.
     *
     * A router that stalls sees events late. The resulting estimates can make it refuse every request, and without new
     * first events they would never be corrected.
     */
    fun resetStaleEstimates(pool: PoolId, now: Timestamp) {
        val last = lastFirstEventAt[pool] ?: return
        if (now < last.plusMilliseconds(ESTIMATE_LIFETIME_MILLISECONDS)) return
        lastFirstEventAt.remove(pool)
        latencies.remove(pool)
        prefillSpeeds.clear()
    }

    /** Predicts the milliseconds to the first event of a request with [uncachedTokens] to prefill at [server]. */
    fun predictMilliseconds(server: BackendEntry, uncachedTokens: Int, load: ServerLoad): Double {
        val latency = latency(server.pool)
        val prefill = (remainingTokens(load) + uncachedTokens) * prefillSpeed(server.id).millisecondsPerToken
        val excess = (load.running + 1 - server.slots).coerceAtLeast(0)
        return latency.fixedMilliseconds + prefill + excess * latency.holdMilliseconds / server.slots.coerceAtLeast(1)
    }

    /**
     * Tokens to prefill before a new request starts.
     *
     * The oldest request without a first event is already partly prefilled, so the fewer tokens wait, the smaller the
     * fraction of them that remains.
     */
    fun remainingTokens(load: ServerLoad): Double {
        val waiting = load.waitingTokens.toDouble()
        return waiting * waiting / (waiting + PARTIAL_PREFILL_TOKENS)
    }

    /** Drops servers that are no longer registered, and state that a restarted server has lost. */
    fun updateDirectory(directory: ServerDirectory) {
        val present = directory.entries.keys
        prefillSpeeds.keys.retainAll(present)
        circuitBreakers.keys.retainAll(present)
        cache.retainServers(present)
        limits.updateDirectory(directory)
        memory.updateDirectory(directory)
        directory.entries.values.forEach { entry ->
            if (entry.id in startTimes && startTimes[entry.id] != entry.startedAtMilliseconds) {
                cache.clear(entry.id)
                circuitBreakers.remove(entry.id)
            }
        }
        startTimes = directory.entries.mapValues { it.value.startedAtMilliseconds }
    }

    private companion object {
        /** A router sees tens of first events per second, so a gap of this length only follows a stall. */
        const val ESTIMATE_LIFETIME_MILLISECONDS = 1_000L

        /** Fraction of a server's memory for shared prompt parts; running requests and unshared parts use the rest. */
        const val CACHE_FRACTION = 0.6

        /** About half of a typical prompt. */
        const val PARTIAL_PREFILL_TOKENS = 2_000.0
    }
}
