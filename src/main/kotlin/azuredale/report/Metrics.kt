package azuredale.report

import azuredale.identity.PoolId
import azuredale.identity.TeamId
import azuredale.outcome.ErrorKind
import azuredale.transport.FrameFault
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/** Kinds of calls to the platform. */
public enum class PlatformCall { READ, WRITE, WATCH, LEASE, LIST }

/** Channel and direction of the traffic between routers. */
public enum class ControlChannel { FRAMES_SENT, FRAMES_RECEIVED, DATAGRAMS_SENT, DATAGRAMS_RECEIVED }

/**
 * Metrics of one router, rendered in the Prometheus text format.
 *
 * The number of time series is limited: once [maximumSeries] combinations of team, pool and outcome exist, requests of
 * new combinations are counted under the team `other`. Likewise, pools beyond a limit are
 * counted under the pool `other`.
 *
 * ```
 * metrics.requestEnded(team, pool, failure = null)
 * metrics.controlBytes(ControlChannel.FRAMES_SENT) { transport.counters.bytesSent.sum() }
 * val text = metrics.scrape()
 * ```
 */
public class Metrics(private val maximumSeries: Int = 4_096) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val requests = ConcurrentHashMap<Triple<TeamId, PoolId, String>, Counter>()
    private val knownPools = ConcurrentHashMap.newKeySet<PoolId>()

    // Strong references: the registry holds the objects behind its function counters only weakly.
    private val strongReferences = ConcurrentHashMap.newKeySet<Any>()

    /** Counts a request that ended; [failure] is null if the whole response was delivered. */
    public fun requestEnded(team: TeamId, pool: PoolId, failure: ErrorKind?) {
        val outcome = failure?.name ?: "COMPLETED"
        val bounded = poolOrOther(pool)
        val key = Triple(team, bounded, outcome)
        val counter =
            requests[key]
                ?: if (requests.size < maximumSeries) {
                    requests.computeIfAbsent(key) { requestCounter(team, bounded, outcome) }
                } else {
                    requestCounter(OTHER_TEAM, bounded, outcome)
                }
        counter.increment()
    }

    /** Counts a slot that this router granted as the allotter of [pool]. */
    public fun granted(pool: PoolId): Unit = Counter
        .builder("azuredale.grants")
        .tag("pool", poolOrOther(pool).name)
        .register(registry)
        .increment()

    /** Counts a call to the platform. */
    public fun platformCalled(call: PlatformCall, hasSucceeded: Boolean): Unit = Counter
        .builder("azuredale.platform.calls")
        .tag("call", call.name.lowercase())
        .tag("result", if (hasSucceeded) "success" else "failure")
        .register(registry)
        .increment()

    /** Records the time from receiving a request to its first token or response. */
    public fun firstToken(pool: PoolId, microseconds: Long): Unit = record("azuredale.first.token", pool, microseconds)

    /** Records the total duration of a request. */
    public fun requestTime(pool: PoolId, microseconds: Long): Unit =
        record("azuredale.request.time", pool, microseconds)

    /** Exposes the bytes exchanged with other routers on [channel]; [total] returns the running total. */
    public fun controlBytes(channel: ControlChannel, total: () -> Long) {
        strongReferences += total
        FunctionCounter
            .builder("azuredale.control.bytes", total) { it().toDouble() }
            .tag("channel", channel.name.lowercase())
            .register(registry)
    }

    /** Exposes the number of frames or datagrams that [source] refused, by the reason of the refusal. */
    public fun framesRefused(source: String, count: (FrameFault) -> Long) {
        strongReferences += count
        FrameFault.entries.forEach { fault ->
            FunctionCounter
                .builder("azuredale.frames.refused", count) { it(fault).toDouble() }
                .tag("source", source)
                .tag("fault", fault.name.lowercase())
                .register(registry)
        }
    }

    /** Exposes a value that can rise and fall, such as the number of rows in a table. */
    public fun gauge(name: String, tags: Map<String, String> = emptyMap(), value: () -> Double) {
        val builder = Gauge.builder("azuredale.$name", value) { it() }.strongReference(true)
        tags.forEach { (key, text) -> builder.tag(key, text) }
        builder.register(registry)
    }

    /** Renders all metrics in the Prometheus text format. */
    public fun scrape(): String = registry.scrape()

    private fun record(name: String, pool: PoolId, microseconds: Long) {
        Timer
            .builder(name)
            .tag("pool", poolOrOther(pool).name)
            .publishPercentiles(PERCENTILE_50, PERCENTILE_95, PERCENTILE_99)
            .register(registry)
            .record(Duration.ofNanos(microseconds * NANOSECONDS_PER_MICROSECOND))
    }

    private fun requestCounter(team: TeamId, pool: PoolId, outcome: String): Counter = Counter
        .builder("azuredale.requests")
        .tag("team", team.name)
        .tag("pool", pool.name)
        .tag("outcome", outcome.lowercase())
        .register(registry)

    private fun poolOrOther(pool: PoolId): PoolId = when {
        pool in knownPools -> pool
        knownPools.size < MAXIMUM_POOLS -> pool.also { knownPools += it }
        else -> OTHER_POOL
    }

    private companion object {
        val OTHER_TEAM = TeamId("other")
        val OTHER_POOL = PoolId("other")
        const val MAXIMUM_POOLS = 64
        const val PERCENTILE_50 = 0.5
        const val PERCENTILE_95 = 0.95
        const val PERCENTILE_99 = 0.99
        const val NANOSECONDS_PER_MICROSECOND = 1_000L
    }
}
