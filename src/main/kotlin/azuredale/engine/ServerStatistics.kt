package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.directory.ServerDirectory
import azuredale.gateway.PromptPart
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.time.Timestamp
import kotlin.random.Random

/**
 * Runtime state of the backend servers, as measured by this router and reported by others.
 *
 * @param routers number of routers of the fleet.
 * @param random returns a random number from 0 to 1.
 * @param reportDelayMilliseconds how long other routers take on the mean to learn what this one sent.
 * @param freeTokens tokens that running requests leave for kept parts which none of this router uses; null if unknown.
 * @param cacheTokens tokens of a server's memory.
 */
internal class ServerStatistics(
    val routers: () -> Int = { 1 },
    val random: () -> Double = Random.Default::nextDouble,
    onLimitChange: (ServerId, requestsPerSecond: Double?) -> Unit = { _, _ -> },
    private val reportDelayMilliseconds: () -> Long = { 0 },
    private val freeTokens: (ServerId) -> Long? = { null },
    coldServers: ((onWarm: (ServerId) -> Unit) -> ColdServers)? = null,
    private val cacheTokens: (ServerId) -> Long,
) {
    private val prefillSpeeds = HashMap<ServerId, PrefillSpeedEstimator>()
    private val latencies = HashMap<PoolId, PoolLatencyEstimator>()
    private val serviceTimes = HashMap<PoolId, ServiceTimes>()
    private val circuitBreakers = HashMap<ServerId, CircuitBreaker>()
    private val lastFirstEventAt = HashMap<PoolId, Timestamp>()
    private val estimateUses = HashMap<PoolId, EstimateUse>()
    private var startTimes: Map<ServerId, Long?> = emptyMap()

    /** Prompts to be placed since a time, and the first events meanwhile. */
    private class EstimateUse(val since: Timestamp) {
        var prompts = 0
        var firstEvents = 0
    }

    /** Outstanding work of the servers. */
    val loads = LoadTracker()

    /** Memory of the servers that requests in progress take. */
    val memory = EngineMemory(loads, cacheTokens)

    /** Which servers have room in it. */
    val room = ServerRoom(memory, loads, routers)

    /** Limits on the request rate that servers name. */
    val limits = ServerLimits(loads, routers, random, onLimitChange)

    /** Servers that have just started, null if requests to them are not bounded. */
    val coldServers: ColdServers? = coldServers?.invoke { prefillSpeeds.remove(it) }

    /** What servers say of themselves in their answers. */
    val announcements = ServerAnnouncements()

    /** How often these limits, or the servers' memory, left no server for a request. */
    val limitPressure = LimitPressure()

    /** Estimated contents of the servers' prompt caches. */
    val cache = PromptCacheModel { knownFreeTokens(it) ?: reservedTokens(it) }

    /** Tokens of the memory of [server] that running requests leave, null if unknown. */
    fun knownFreeTokens(server: ServerId): Long? = freeTokens(server)

    /** Tokens of the memory of [server] for idle prompt parts while it is unknown what running requests take. */
    fun reservedTokens(server: ServerId): Long = (cacheTokens(server) * CACHE_FRACTION).toLong()

    /** How often prompt parts are asked for. */
    val demand = PartDemand()

    /** How far predictions on kept prompt parts hold. */
    val prefixes = PrefixOutcomes()

    /** Seconds until other routers know on the mean what this one sent. */
    fun reportDelaySeconds(): Double = reportDelayMilliseconds() / MILLISECONDS_PER_SECOND

    /** Estimated prefill speed of [server]. */
    fun prefillSpeed(server: ServerId): PrefillSpeedEstimator =
        prefillSpeeds.getOrPut(server) { PrefillSpeedEstimator() }

    /** Latency estimates shared by the servers of [pool]. */
    fun latency(pool: PoolId): PoolLatencyEstimator = latencies.getOrPut(pool) { PoolLatencyEstimator() }

    /** Times of the requests to the plain services of [pool]. */
    fun serviceTimes(pool: PoolId): ServiceTimes = serviceTimes.getOrPut(pool) { ServiceTimes() }

    /** Failure state of [server]. */
    fun circuitBreaker(server: ServerId): CircuitBreaker = circuitBreakers.getOrPut(server) { CircuitBreaker() }

    /** Records that another router reports that [server] reads [part]; a server that leaves keeps nothing of use. */
    fun recordReportedRead(server: BackendEntry, part: PromptPart, now: Timestamp) {
        demand.record(part.id, now)
        val leaves = announcements.availableAt(server, now) == Timestamp.DISTANT_FUTURE
        if (server.state == BackendState.READY && !leaves) cache.record(server.id, listOf(part))
    }

    /** Records that a request with the shared [parts] is sent to [server]. */
    fun recordPrompt(server: ServerId, parts: List<PromptPart>, now: Timestamp): PartsInUse {
        parts.forEach { demand.record(it.id, now) }
        return cache.begin(server, parts)
    }

    /**
     * Records a first event [milliseconds] after the request was sent, with [tokens] to prefill before it.
     *
     * @param keptTokens tokens of the prompt that the server was predicted to keep.
     */
    fun recordFirstEvent(
        server: BackendEntry,
        tokens: Double,
        milliseconds: Double,
        now: Timestamp,
        keptTokens: Int = 0,
    ) {
        recordUnmeasuredFirstEvent(server.pool, now)
        val speed = prefillSpeed(server.id)
        val latency = latency(server.pool)
        val fixed = latency.fixedMilliseconds
        val late = milliseconds - fixed - tokens * speed.millisecondsPerToken
        prefixes.recordFirstEvent(keptTokens, keptTokens * speed.millisecondsPerToken, late)
        latency.recordFixed(milliseconds - tokens * speed.millisecondsPerToken, tokens)
        speed.record(tokens, milliseconds - fixed)
    }

    /** Records a first event from a server of [pool] whose time says nothing of the server. */
    fun recordUnmeasuredFirstEvent(pool: PoolId, now: Timestamp) {
        lastFirstEventAt[pool] = now
        estimateUses[pool]?.let { it.firstEvents++ }
    }

    /**
     * Resets the latency estimate of [pool] and the speed estimates when the pool has had no first event for a while,
     * or hardly any for the prompts that were to be placed; called for each prompt.
     *
     * A router that stalls sees events late. The resulting estimates can make it refuse nearly every request, and
     * without new first events they would never be corrected.
     */
    fun resetStaleEstimates(pool: PoolId, now: Timestamp) {
        val last = lastFirstEventAt[pool] ?: return
        val areUnused = areUnused(pool, now)
        if (now < last.plusMilliseconds(ESTIMATE_LIFETIME_MILLISECONDS) && !areUnused) return
        lastFirstEventAt.remove(pool)
        latencies.remove(pool)
        prefillSpeeds.clear()
    }

    /** Counts a prompt; returns whether hardly any prompt of the last second led to a first event. */
    private fun areUnused(pool: PoolId, now: Timestamp): Boolean {
        val use = estimateUses.getOrPut(pool) { EstimateUse(now) }
        use.prompts++
        if (now < use.since.plusMilliseconds(ESTIMATE_LIFETIME_MILLISECONDS)) return false
        estimateUses[pool] = EstimateUse(now)
        return use.prompts >= MINIMUM_PROMPTS && use.firstEvents * UNUSED_PROMPTS <= use.prompts
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
    fun updateDirectory(directory: ServerDirectory, now: Timestamp) {
        val present = directory.entries.keys
        prefillSpeeds.keys.retainAll(present)
        circuitBreakers.keys.retainAll(present)
        serviceTimes.values.forEach { it.retain(present) }
        cache.retainServers(present)
        limits.updateDirectory(directory)
        coldServers?.updateDirectory(directory, now)
        memory.updateDirectory(directory)
        directory.entries.values.forEach { entry ->
            if (entry.id in startTimes && startTimes[entry.id] != entry.startedAtMilliseconds) {
                cache.clear(entry.id)
                circuitBreakers.remove(entry.id)
            }
            if (entry.state == BackendState.DRAINING) cache.clear(entry.id)
        }
        startTimes = directory.entries.mapValues { it.value.startedAtMilliseconds }
    }

    private companion object {
        /** A router sees tens of first events per second, so a gap of this length only follows a stall. */
        const val ESTIMATE_LIFETIME_MILLISECONDS = 1_000L

        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Prompts within that time that tell refusals from a pool that is hardly used. */
        const val MINIMUM_PROMPTS = 20

        /** Prompts for each first event beyond which estimates are not corrected by what they admit. */
        const val UNUSED_PROMPTS = 10

        /** Fraction of a server's memory for idle prompt parts, as long as it is unknown what running requests take. */
        const val CACHE_FRACTION = 0.6

        /** About half of a typical prompt. */
        const val PARTIAL_PREFILL_TOKENS = 2_000.0
    }
}
