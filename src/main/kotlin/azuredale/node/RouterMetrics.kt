package azuredale.node

import azuredale.identity.Revision
import azuredale.membership.ProbeSocket
import azuredale.report.ControlChannel
import azuredale.report.Metrics
import azuredale.report.TimedRequest
import azuredale.store.CallRateLimiter
import azuredale.transport.PeerTransport

/** Registers the counters and gauges of one router's components as metrics. */
internal class RouterMetrics {
    private val metrics = Metrics()

    /** All metrics in the Prometheus text format. */
    fun scrape(): String = metrics.scrape()

    /** Records the outcome and the times of a finished caller request. */
    fun requestEnded(request: TimedRequest) {
        metrics.requestEnded(request.team, request.pool, request.failure)
        metrics.requestTime(request.pool, request.totalMicroseconds)
        request.firstTokenMicroseconds?.let { metrics.firstToken(request.pool, it) }
    }

    /** Exposes the traffic between routers. */
    fun exposeTraffic(transport: PeerTransport, datagrams: ProbeSocket) {
        metrics.controlBytes(ControlChannel.FRAMES_SENT) { transport.counters.bytesSent.sum() }
        metrics.controlBytes(ControlChannel.FRAMES_RECEIVED) { transport.counters.bytesReceived.sum() }
        metrics.controlBytes(ControlChannel.DATAGRAMS_SENT) { datagrams.bytesSent.sum() }
        metrics.controlBytes(ControlChannel.DATAGRAMS_RECEIVED) { datagrams.bytesReceived.sum() }
        metrics.framesRefused("peers", transport.counters::framesRefused)
        metrics.framesRefused("probes", datagrams::datagramsRefused)
    }

    /** Exposes the state of [node]. */
    fun exposeNode(node: RouterNode, isReady: () -> Boolean) {
        metrics.gauge("requests.waiting") { node.requester.waitingCount.toDouble() }
        metrics.gauge("requests.running") { node.requester.runningCount.toDouble() }
        metrics.gauge("requests.open") { node.requests.requestCount.toDouble() }
        metrics.gauge("events.stale") { node.requests.droppedEvents.toDouble() }
        metrics.gauge("members.alive") {
            node.membership
                .members()
                .size
                .toDouble()
        }
        metrics.gauge("document.revision") { (node.documents.document()?.revision ?: Revision.NONE).value.toDouble() }
        metrics.gauge("ready") { if (isReady()) 1.0 else 0.0 }
    }

    /** Exposes the counts of calls to the platform. */
    fun exposeCalls(rateLimiter: CallRateLimiter) {
        metrics.gauge("platform.calls.allowed") { rateLimiter.allowed.toDouble() }
        metrics.gauge("platform.calls.refused") { rateLimiter.refused.toDouble() }
    }
}
