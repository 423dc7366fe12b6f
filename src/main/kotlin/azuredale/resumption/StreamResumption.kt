package azuredale.resumption

import azuredale.directory.ServerDirectory
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.SoftwareVersion
import azuredale.logging.EventLog
import azuredale.time.Clock
import azuredale.time.Timestamp

/** Where a stream that was broken off may go on. */
internal sealed interface ResumptionDecision {
    /** At servers with [version]; at any server if it is null. */
    data class GoOn(val version: SoftwareVersion?) : ResumptionDecision

    /** Nowhere: no server's events are certain to fit. */
    data class Refuse(val detail: String) : ResumptionDecision
}

/**
 * Decides at which software version a broken stream may go on.
 *
 * What servers of two versions write does not fit together, and servers do not check it. So a stream goes on only at
 * the version that began it; if that is unknown, only while its pool has had no other version.
 *
 * @param isInStep whether this router knows of each version at which another router may have begun a stream by now.
 * @param catchUp does the same, and first reads the directory again if a stream may have begun since it was proven.
 */
internal class StreamResumption(
    private val versions: PoolVersions,
    private val origins: StreamOrigins,
    private val exchange: OriginExchange,
    private val notes: VersionNoteKeeper,
    private val log: EventLog,
    private val clock: Clock,
    private val isInStep: () -> Boolean,
    private val catchUp: suspend () -> Boolean,
) {
    /** Whether [bytes] are a message about streams. */
    fun isMessage(bytes: ByteArray): Boolean = OriginCodec.isOriginMessage(bytes)

    /** Handles such a message of the router at [from]; returns false if it is malformed. */
    fun messageReceived(from: NetworkAddress, bytes: ByteArray): Boolean = exchange.received(from, bytes, clock())

    /** Observes [directory]. */
    fun directoryChanged(directory: ServerDirectory, now: Timestamp) = mixed(versions.update(directory, now), now)

    /** Applies what another router reports of [pools]. */
    fun reported(pools: List<MixedPool>, now: Timestamp) = mixed(versions.reported(pools, now), now)

    /** The mixed pools, for reports to other routers. */
    fun mixedPools(): List<MixedPool> = versions.mixedPools(clock())

    /** Records that the store has returned from an older copy. */
    fun storeReturned() = versions.notesLost()

    /** Runs periodic work that is due. */
    fun tick(now: Timestamp) {
        mixed(versions.refresh(now), now)
        notes.tick(now)
    }

    /** The versions at which new resumable streams of [pool] may begin, null if all may. */
    fun beginning(pool: PoolId): Set<SoftwareVersion>? = versions.beginning(pool)

    /** Records, before its first event is forwarded, that the stream of [requestId] begins at [version]. */
    fun recordBegin(requestId: String, pool: PoolId, version: SoftwareVersion, now: Timestamp) {
        val stream = StreamId.of(requestId)
        origins.record(stream, version, isOwn = true, now)
        if (versions.isMixed(pool)) exchange.tell(stream, version)
    }

    /** Decides on a stream of [pool] that [requestId] began; null if the caller does not say which request did. */
    suspend fun decide(requestId: String?, pool: PoolId): ResumptionDecision {
        val known = requestId?.let { origins.find(StreamId.of(it), clock()) }
        return when {
            known != null -> decide(known)
            isAlwaysAlike(pool) -> ResumptionDecision.GoOn(versions.onlyVersion(pool))
            requestId == null -> ResumptionDecision.Refuse("the caller does not name the request that began the stream")
            else -> decide(ask(requestId))
        }
    }

    private fun decide(origin: StreamOrigin?) = when (origin) {
        is StreamOrigin.Known -> ResumptionDecision.GoOn(origin.version)
        is StreamOrigin.Contradictory -> ResumptionDecision.Refuse("the stream is said to have begun at two versions")
        null -> ResumptionDecision.Refuse("no router knows which software version began the stream")
    }

    private suspend fun ask(requestId: String): StreamOrigin? {
        // Soon after a start the others may not know yet that the pool is mixed, so they have told nobody. A router
        // that is out of step does not know whom they have told.
        val asksAll = clock() < versions.settledAt() || !isInStep()
        val origin = exchange.ask(StreamId.of(requestId), asksAll)
        log.write(ResumptionLogEvent.ORIGIN_ASKED, "request" to requestId, "origin" to origin)
        return origin
    }

    /** Whether the servers of [pool] have had one version for as long as streams last. */
    private suspend fun isAlwaysAlike(pool: PoolId): Boolean {
        if (versions.isMixed(pool) || versions.observedSince == null || !catchUp()) return false
        if (versions.isMixed(pool)) return false
        if (clock() >= versions.settledAt()) return true
        val isNoted = notes.isNoted(pool) ?: return false
        if (isNoted) mixed(versions.noteFound(pool, clock(), clock()), clock())
        return !isNoted && !versions.isMixed(pool) && isInStep()
    }

    private fun mixed(pools: List<PoolId>, now: Timestamp) {
        if (pools.isEmpty()) return
        pools.forEach { log.write(ResumptionLogEvent.POOL_MIXED, "pool" to it) }
        exchange.tellAll(now)
    }
}
