package azuredale.gateway

import azuredale.logging.EventLog
import azuredale.time.Timestamp

/**
 * Logs what this router had to do within the last second: a line a second while requests or address queries come.
 *
 * The line shows whether a router is behind, and whether the callers' addresses spread the requests over the fleet.
 */
internal class RouterLoadLog(private val log: EventLog) {
    private var nextAt = Timestamp.DISTANT_PAST
    private var requests = 0
    private var refusals = 0
    private var refusalsUnread = 0
    private var addressAnswers = 0
    private var fewestAddresses = Int.MAX_VALUE
    private val addressCallers = HashSet<String>()
    private var longestLag = 0L
    private var oldestLoads = 0L
    private var loggedEarlyReports = 0L

    /** Records that a caller's request was read. */
    fun recordRequest() {
        requests++
    }

    /** Records that a request was refused for load; returns whether a line about it is to be written. */
    fun recordRefusal(): Boolean = ++refusals <= LOGGED_REFUSALS

    /** Records that a request was refused before it was decoded; returns whether a line about it is to be written. */
    fun recordRefusalUnread(): Boolean = ++refusalsUnread <= LOGGED_REFUSALS

    /** Records that [caller] was told to use [count] routers. */
    fun recordAddressAnswer(caller: AddressCaller, count: Int) {
        addressAnswers++
        addressCallers += caller.host
        fewestAddresses = minOf(fewestAddresses, count)
    }

    /** Records that a prompt was placed by the loads of other routers as of [asOf]. */
    fun recordLoadsUsed(asOf: Timestamp, now: Timestamp) {
        oldestLoads = maxOf(oldestLoads, now.microsecondsSince(asOf) / Timestamp.MICROSECONDS_PER_MILLISECOND)
    }

    /**
     * Records periodic work, and writes the line if it is due.
     *
     * @param lagMilliseconds how much later than planned the work runs.
     * @param running requests in progress.
     * @param spareQuarters quarters of the router's capacity that are spare.
     * @param knownRouters routers, including this one, that the router knows of.
     * @param directoryAge milliseconds since the directory was known to be the newest, null if it never was.
     * @param earlyReports rounds of early reports since the start.
     */
    fun tick(
        lagMilliseconds: Long,
        running: Int,
        spareQuarters: Int,
        knownRouters: Int,
        directoryAge: Long?,
        earlyReports: Long,
        now: Timestamp,
    ) {
        longestLag = maxOf(longestLag, lagMilliseconds)
        if (now < nextAt) return
        nextAt = now.plusMilliseconds(PERIOD_MILLISECONDS)
        if (requests > 0 || refusalsUnread > 0 || addressAnswers > 0) {
            log.write(
                GatewayLogEvent.ROUTER_LOAD,
                "requests" to requests,
                "refused" to refusals,
                "refusedUnread" to refusalsUnread,
                "running" to running,
                "lag" to longestLag,
                "spareQuarters" to spareQuarters,
                "addressAnswers" to addressAnswers,
                "addressCallers" to addressCallers.size,
                "fewestAddresses" to fewestAddresses.takeIf { addressAnswers > 0 },
                "knownRouters" to knownRouters,
                "directoryAge" to directoryAge,
                "loadAge" to oldestLoads,
                "earlyReports" to earlyReports - loggedEarlyReports,
            )
        }
        requests = 0
        refusals = 0
        refusalsUnread = 0
        addressAnswers = 0
        addressCallers.clear()
        fewestAddresses = Int.MAX_VALUE
        longestLag = 0
        oldestLoads = 0
        loggedEarlyReports = earlyReports
    }

    private companion object {
        const val PERIOD_MILLISECONDS = 1_000L

        /** Lines about single refusals of either kind in each period; the rest is only counted. */
        const val LOGGED_REFUSALS = 20
    }
}
