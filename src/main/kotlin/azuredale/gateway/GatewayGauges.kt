package azuredale.gateway

import azuredale.engine.ServerStatistics
import azuredale.freshness.StoreView
import azuredale.peers.PeerExchange
import azuredale.time.Clock

/** Exposes what the router knows of the store's tables and of the backend servers. */
internal fun GatewayMetrics.exposeServers(view: StoreView, statistics: ServerStatistics, clock: Clock) {
    gauge("catalog.revision") {
        view.catalogMark.point.revision
            .toDouble()
    }
    gauge("catalog.version") { view.catalogMark.version.toDouble() }
    gauge("store.era") {
        view.history.era.number
            .toDouble()
    }
    gauge("servers.ready") {
        view.directory.entries.values
            .count { view.directory.isReady(it.id) }
            .toDouble()
    }
    gauge("servers.cold") { statistics.coldServers?.count(clock())?.toDouble() ?: 0.0 }
    gauge("domains.evacuated") {
        view.evacuations.domains.size
            .toDouble()
    }
}

/** Exposes the exchange with the other routers. */
internal fun GatewayMetrics.exposeExchange(exchange: PeerExchange) {
    gauge("routers.alive") { exchange.peers.alive.size + 1.0 }
    gauge("directories.learned") { exchange.directoriesLearned.toDouble() }
    gauge("datagrams.sent") { exchange.datagramsSent.toDouble() }
    gauge("reports.early") { exchange.earlyRounds.toDouble() }
    gauge("datagram.bytes.sent") { exchange.bytesSent.toDouble() }
}

/** Exposes what the router may use of its VM's memory, and what of its heap it uses. */
internal fun GatewayMetrics.exposeMemory(plan: MemoryPlan, maximumConnections: Int) {
    val runtime = Runtime.getRuntime()
    gauge("heap.used.bytes") { (runtime.totalMemory() - runtime.freeMemory()).toDouble() }
    gauge("heap.maximum.bytes") { runtime.maxMemory().toDouble() }
    gauge("request.body.maximum.bytes") { plan.bodyBytes.toDouble() }
    gauge("caller.connections.maximum") { maximumConnections.toDouble() }
}

/** Exposes the budget of request bodies. */
internal fun GatewayMetrics.exposeBodies(bodies: RequestBodyBudget) {
    gauge("request.body.bytes") { bodies.heldBytes.toDouble() }
    gauge("request.bodies.refused") { bodies.refusals.toDouble() }
}
