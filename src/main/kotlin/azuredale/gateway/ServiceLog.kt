package azuredale.gateway

import azuredale.catalog.Catalog
import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.engine.ServerStatistics
import azuredale.logging.EventLog
import azuredale.time.Clock
import azuredale.time.Timestamp

/** Logs and exposes which servers of plain services have all slots in use: a line at most each 2 s. */
internal class ServiceLog(
    private val catalog: () -> Catalog?,
    private val directory: () -> ServerDirectory,
    private val statistics: ServerStatistics,
    private val log: EventLog,
) {
    private var nextAt = Timestamp.DISTANT_PAST

    /** Registers the gauge. */
    fun expose(metrics: GatewayMetrics, clock: Clock) {
        metrics.gauge("service.servers.full") { full(clock()).size.toDouble() }
    }

    /** Writes the line if it is due. */
    fun tick(now: Timestamp) {
        if (now < nextAt) return
        nextAt = now.plusMilliseconds(PERIOD_MILLISECONDS)
        val full = full(now)
        if (full.isEmpty()) return
        log.write(
            GatewayLogEvent.SERVICE_CROWDED,
            "full" to full.size,
            "servers" to full.take(MAXIMUM_NAMES).joinToString { it.id.name },
            "usual" to full.maxOf { statistics.serviceTimes(it.pool).milliseconds(it.id) }.toLong(),
        )
    }

    private fun full(now: Timestamp): List<BackendEntry> = directory().entries.values.filter {
        catalog()?.pool(it.pool)?.engine == null &&
            statistics.loads.load(it.id, it.idHash, now).running >= it.slots
    }

    private companion object {
        const val PERIOD_MILLISECONDS = 2_000L
        const val MAXIMUM_NAMES = 8
    }
}
