package azuredale.gateway

import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.engine.EngineMemory
import azuredale.engine.ServerSelection
import azuredale.identity.PoolId
import azuredale.logging.EventLog
import azuredale.time.Clock
import azuredale.time.Timestamp

/** Logs and counts what the servers' memory did to requests; a line about refusals at most once a second. */
internal class MemoryLog(
    private val memory: EngineMemory,
    private val log: EventLog,
) {
    private var nextAt = Timestamp.DISTANT_PAST
    private var sinceLine = 0
    private var refusals = 0L
    private var outOfMemory = 0L

    /** Records that a request to [pool] was refused for room. */
    fun recordRefusal(pool: PoolId, selection: ServerSelection.NoRoom, now: Timestamp) {
        refusals++
        sinceLine++
        if (now < nextAt) return
        nextAt = now.plusMilliseconds(PERIOD_MILLISECONDS)
        log.write(
            GatewayLogEvent.ROOM_LACKING,
            "pool" to pool,
            "refused" to sinceLine,
            "missing" to selection.missingTokens,
            "freeIn" to selection.freeAt?.let { it.microsecondsSince(now) / Timestamp.MICROSECONDS_PER_MILLISECOND },
        )
        sinceLine = 0
    }

    /** Records that the process of [server] ended; tells whether it lacked memory. */
    fun recordServerEnd(server: BackendEntry, now: Timestamp) {
        if (!memory.wasExceeded(server, now)) return
        outOfMemory++
        log.write(
            GatewayLogEvent.SERVER_OUT_OF_MEMORY,
            "server" to server.id,
            "address" to server.address,
            "committed" to memory.peakTokens(server, now),
            "capacity" to memory.capacityTokens(server.id),
        )
    }

    /** Registers the gauges; those of all servers are sums over the ready ones. */
    fun expose(metrics: GatewayMetrics, directory: () -> ServerDirectory, clock: Clock) {
        fun sum(tokens: (BackendEntry) -> Long?) = directory().let { current ->
            current.entries.values
                .sumOf { if (current.isReady(it.id)) tokens(it) ?: 0 else 0 }
                .toDouble()
        }
        metrics.gauge("memory.committed.tokens") { sum { memory.committedTokens(it, clock()) } }
        metrics.gauge("memory.free.tokens") { sum { memory.freeTokens(it, clock()) } }
        metrics.gauge("memory.requests.refused") { refusals.toDouble() }
        metrics.gauge("memory.servers.ended") { outOfMemory.toDouble() }
        metrics.gauge("memory.streams") { memory.predictions.streams.toDouble() }
        metrics.gauge("memory.streams.outgrown") { memory.predictions.exceeded.toDouble() }
        metrics.gauge("memory.output.unused.tokens") { memory.predictions.unusedTokens.toDouble() }
    }

    private companion object {
        const val PERIOD_MILLISECONDS = 1_000L
    }
}
