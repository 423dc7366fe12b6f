package azuredale.gateway

import azuredale.admission.FairShares
import azuredale.admission.TeamUsage
import azuredale.catalog.Catalog
import azuredale.logging.EventLog
import azuredale.time.Timestamp

/** Logs the shares of the teams while requests are refused for load, at most once a second. */
internal class ShareLog(
    private val shares: FairShares,
    private val usage: TeamUsage,
    private val catalog: () -> Catalog?,
    private val log: EventLog,
) {
    private var nextAt = Timestamp.DISTANT_PAST

    /** Records that a request was refused for load at [now]. */
    fun recordRefusal(now: Timestamp) {
        if (now < nextAt) return
        nextAt = now.plusMilliseconds(PERIOD_MILLISECONDS)
        val current = shares.current(now)
        val names = catalog()?.teams.orEmpty().associate { TeamUsage.teamHash(it.id) to it.id.name }
        val teams =
            current.usage.entries
                .sortedByDescending { it.value.requested }
                .take(LOGGED_TEAMS)
                .joinToString(" ") { (hash, usage) -> "${names[hash] ?: hash}=${usage.granted}/${usage.requested}" }
        log.write(
            GatewayLogEvent.TEAMS_CONTEND,
            "capacity" to current.capacity,
            "fairShare" to current.fairShare.takeIf { it.isFinite() }?.toLong(),
            "gap" to "%.2f".format(current.gap),
            "usageAge" to
                usage.oldestReport()?.let { now.microsecondsSince(it) / Timestamp.MICROSECONDS_PER_MILLISECOND },
            "teams" to teams,
        )
    }

    private companion object {
        const val PERIOD_MILLISECONDS = 1_000L

        /** Bounds the length of a log line. */
        const val LOGGED_TEAMS = 8
    }
}
