package azuredale.peers

import azuredale.admission.TeamUsage
import azuredale.gateway.GatewaySettings
import azuredale.time.Timestamp

/** How often routers report to each other, and how long their reports count. */
internal class ReportPeriods(
    private val settings: GatewaySettings,
    private val table: PeerTable,
    private val topology: RelayTopology,
    private val usage: TeamUsage,
) {
    /** Interval between the reports of this router. */
    fun milliseconds(): Long = if (topology.isMesh) {
        maxOf(MINIMUM_PERIOD_MILLISECONDS, table.all.size * PERIOD_PER_PEER_MILLISECONDS)
    } else {
        RELAYED_PERIOD_MILLISECONDS
    }

    /**
     * Interval between the reports of this router that contain usage.
     *
     * With relays, every report contains it while capacity is scarce, or less often if there are many teams.
     */
    fun usageMilliseconds(now: Timestamp): Long = when {
        topology.isMesh -> MESH_USAGE_PERIOD_MILLISECONDS
        usage.isScarce(now) -> {
            val reports = 1L + usage.fleetUsage(now).size / TEAMS_PER_REPORT
            minOf(reports * milliseconds(), RELAYED_USAGE_PERIOD_MILLISECONDS)
        }
        else -> RELAYED_USAGE_PERIOD_MILLISECONDS
    }

    /** Time after its last report for which a router that reports regularly counts as alive. */
    fun peerTimeoutMilliseconds(): Long = maxOf(
        MINIMUM_PEER_TIMEOUT_MILLISECONDS,
        milliseconds() * PEER_TIMEOUT_PERIODS,
    )

    /** How long other routers take on the mean to learn what this one sent; a relayed report waits for three rounds. */
    fun reportDelayMilliseconds(): Long = milliseconds() * (if (topology.isMesh) 1 else RELAYED_ROUNDS) / 2

    /**
     * Milliseconds to wait for the changes of the directory before they are read from the store.
     *
     * Without relays no changes are passed on. The relays, which are first in rank, wait least: all others need them.
     */
    fun changeDelayMilliseconds(): Long =
        if (topology.isMesh) 0 else topology.rank.coerceAtMost(LAST_CHANGE_RANK) * CHANGE_DELAY_MILLISECONDS

    /** Time until which the sender of [report] counts as alive. */
    fun aliveUntil(report: PeerReport, now: Timestamp): Timestamp {
        // A router that reports only now and then is known to be alive by its relay's reports.
        val isMember = topology.isRelay && report.sender.failureDomain == settings.failureDomain.name
        val isRegular = topology.isMesh || isMember || report.scope != ReportScope.ROUTER.ordinal
        return now.plusMilliseconds(if (isRegular) peerTimeoutMilliseconds() else RELAYED_TIMEOUT_MILLISECONDS)
    }

    companion object {
        /** Longest age that a relayed state can have; routers that are silent for longer are forgotten. */
        const val MAXIMUM_AGE_MILLISECONDS = 60_000L

        /** Several periods in which relays pass liveness on. */
        const val RELAYED_TIMEOUT_MILLISECONDS = PeerTable.MAXIMUM_SILENCE_MILLISECONDS

        /** A server processes a prompt in 30 to 100 ms, so less frequent reports would miss most of that load. */
        private const val MINIMUM_PERIOD_MILLISECONDS = 40L

        /** Limits a router without relays to fewer than 170 datagrams per second. */
        private const val PERIOD_PER_PEER_MILLISECONDS = 6L

        /** A router of a failure domain sends and receives five datagrams per second. */
        private const val RELAYED_PERIOD_MILLISECONDS = 200L

        private const val MESH_USAGE_PERIOD_MILLISECONDS = 120L
        private const val RELAYED_USAGE_PERIOD_MILLISECONDS = 400L

        /** Teams whose usage takes about half a kilobyte. */
        private const val TEAMS_PER_REPORT = 32

        /** From a router to its relay, to the other relays, and to their routers. */
        private const val RELAYED_ROUNDS = 3L

        /** Long enough that a peer is not considered silent after a few lost datagrams or a short stall. */
        private const val MINIMUM_PEER_TIMEOUT_MILLISECONDS = 600L

        private const val PEER_TIMEOUT_PERIODS = 5L

        /** Ranks up to this one wait one after the other, the last of them for one and a half periods of reports. */
        private const val LAST_CHANGE_RANK = 4

        private const val CHANGE_DELAY_MILLISECONDS = 75L
    }
}
