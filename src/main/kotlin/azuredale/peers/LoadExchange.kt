package azuredale.peers

import azuredale.admission.TeamUsage
import azuredale.admission.TokenUsage
import azuredale.engine.ServerLimitRecord
import azuredale.engine.ServerLoad
import azuredale.engine.ServerStatistics
import azuredale.freshness.StoreView
import azuredale.gateway.GatewaySettings
import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.time.Timestamp

/** Adds up the server loads and team usage that other routers report, and their limits on the servers' requests. */
internal class LoadExchange(
    private val settings: GatewaySettings,
    private val incarnation: Incarnation,
    private val view: StoreView,
    private val statistics: ServerStatistics,
    private val usage: TeamUsage,
    private val topology: RelayTopology,
    private val periods: ReportPeriods,
) {
    private val reportedStates = LinkedHashMap<Long, ReportedState>()
    private var collectsFrom: RouterId? = null

    /** Drops reported loads when this router collects them from other routers than before. */
    fun updateSource() {
        val source = if (topology.isMesh || topology.isRelay) settings.router else topology.ownRelay
        if (source == collectsFrom) return
        collectsFrom = source
        statistics.loads.retainPeer(source)
        usage.retainPeer(source)
    }

    /** Records the state that the reports of [now] contain. */
    fun rememberState(now: Timestamp, state: ReportedState) {
        reportedStates[now.microseconds] = state
        if (reportedStates.size > REMEMBERED_STATES) reportedStates.remove(reportedStates.keys.first())
    }

    /** Applies a report of [peer] that adds up [scope]. */
    fun apply(peer: Peer, scope: ReportScope, datagram: PeerDatagram, report: PeerReport, now: Timestamp) {
        if (isSource(peer, scope)) applySums(peer, scope, datagram, report, now)
    }

    /** Applies the limits that servers named to other routers. */
    fun applyLimits(report: PeerReport, now: Timestamp) {
        report.limits.forEach { entry ->
            val server = view.directory.byIdHash[entry.server] ?: return@forEach
            val limit = entry.requestsPerSecond?.takeIf { it.isFinite() && it >= 0 }
            val heardAt = now.plusMilliseconds(-entry.age.coerceIn(0, ReportPeriods.MAXIMUM_AGE_MILLISECONDS))
            val record = ServerLimitRecord(entry.server, entry.startedAtMilliseconds, limit, heardAt)
            statistics.limits.merge(server, record, now)
        }
    }

    /** Whether the loads in a report of [peer] are added to those of other reports. */
    private fun isSource(peer: Peer, scope: ReportScope): Boolean = when (scope) {
        ReportScope.ROUTER -> topology.isMesh || (topology.isRelay && topology.isInOwnDomain(peer))
        ReportScope.FAILURE_DOMAIN -> topology.isRelay && !topology.isInOwnDomain(peer)
        ReportScope.FLEET -> peer.router == topology.ownRelay
    }

    private fun applySums(peer: Peer, scope: ReportScope, datagram: PeerDatagram, report: PeerReport, now: Timestamp) {
        // The sums of a relay contain the state that this router reported last.
        val included =
            if (scope == ReportScope.FLEET && datagram.echoIncarnation == incarnation.value) {
                reportedStates[datagram.echoedTime]
            } else {
                null
            }
        val loads = HashMap<Int, ServerLoad>()
        report.loads.forEach { entry ->
            val load =
                ServerLoad(
                    waitingTokens = entry.waitingTokens.coerceAtLeast(0),
                    running = entry.running.coerceAtLeast(0),
                    recentRequests = entry.recentRequests.coerceAtLeast(0),
                    committedTokens = entry.committedTokens.coerceIn(0, MAXIMUM_COMMITTED_TOKENS),
                )
            loads[entry.server] = included?.loads?.get(entry.server)?.let { load - it } ?: load
        }
        statistics.loads.updatePeer(
            router = peer.router,
            loads = loads,
            validUntil = now.plusMilliseconds(periods.peerTimeoutMilliseconds()),
            asOf = meanTime(scope, periods.milliseconds(), now),
        )
        if (report.usage.isEmpty()) return
        val teams = HashMap<Int, TokenUsage>()
        report.usage.forEach { entry ->
            val sum = TokenUsage(entry.requested.coerceAtLeast(0), entry.granted.coerceAtLeast(0))
            teams[entry.team] = included?.usage?.get(entry.team)?.let { sum - it } ?: sum
        }
        usage.updatePeer(
            router = peer.router,
            usage = teams,
            asOf = meanTime(scope, periods.usageMilliseconds(now), now),
            validUntil = now.plusMicroseconds(TeamUsage.WINDOW_MICROSECONDS),
        )
    }

    /** Each relay adds what was reported to it half a period ago on average. */
    private fun meanTime(scope: ReportScope, periodMilliseconds: Long, now: Timestamp): Timestamp =
        now.plusMilliseconds(-scope.ordinal * periodMilliseconds / 2)

    private companion object {
        /** Larger than the memory of a server, and small enough for a sum over the reports of all routers. */
        const val MAXIMUM_COMMITTED_TOKENS = 10_000_000

        /** Reports, early ones included, within the time in which a relay answers. */
        const val REMEMBERED_STATES = 64
    }
}
