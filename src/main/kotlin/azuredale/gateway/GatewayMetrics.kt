package azuredale.gateway

import azuredale.outcome.ErrorKind
import azuredale.time.Timestamp
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/** Counters and latency histograms of one router on the platform, in the Prometheus text format. */
public class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val outcomes = HashMap<ErrorKind?, Counter>()
    private val firstEventLatency = histogram("azuredale.first.event.milliseconds")
    private val serverEnds = Counter.builder("azuredale.server.ends").register(registry)
    private val requestDuration = histogram("azuredale.request.milliseconds")
    private val loadAge = histogram("azuredale.load.age.milliseconds")

    /** Counts a finished request; [kind] is null unless this router refused it. */
    public fun recordEnd(kind: ErrorKind?, arrivedAt: Timestamp, firstEventAt: Timestamp?, now: Timestamp) {
        outcomes
            .getOrPut(kind) {
                Counter
                    .builder("azuredale.requests")
                    .tag("outcome", kind?.name?.lowercase() ?: "answered")
                    .register(registry)
            }.increment()
        if (firstEventAt != null) firstEventLatency.record(milliseconds(arrivedAt, firstEventAt))
        if (kind == null) requestDuration.record(milliseconds(arrivedAt, now))
    }

    /** Counts a server process whose unexpected end this router noticed. */
    public fun recordServerEnd() {
        serverEnds.increment()
    }

    /** Records that a prompt was placed by the loads of other routers as of [asOf]. */
    public fun recordLoadAge(asOf: Timestamp, now: Timestamp) {
        loadAge.record(milliseconds(asOf, now))
    }

    /** Registers a gauge that reads [value] at each scrape. */
    public fun gauge(name: String, value: () -> Double) {
        Gauge.builder("azuredale.$name", value) { it() }.strongReference(true).register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    public fun scrape(): String = registry.scrape()

    private fun histogram(name: String) = DistributionSummary
        .builder(name)
        .let { builder ->
            @Suppress("SpreadOperator")
            builder.serviceLevelObjectives(*BUCKETS_MILLISECONDS)
        }.register(registry)

    private fun milliseconds(from: Timestamp, to: Timestamp) =
        to.microsecondsSince(from).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND

    private companion object {
        /** Covers latencies from an idle server up to the longest route time-outs. */
        val BUCKETS_MILLISECONDS =
            doubleArrayOf(5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 300.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 15_000.0)
    }
}
