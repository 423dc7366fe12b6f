package azuredale.sharing

/**
 * Parameters of the allotter and the requester. Periods are converted to deadlines when used.
 *
 * @property offersPerTeam maximum number of requests that a router offers to an allotter per team and shard.
 * @property queuePerTeam maximum number of requests waiting at one router per team.
 * @property queueTotal maximum number of requests waiting at one router.
 * @property lookAhead number of requests that may wait inside a backend server, to hide the round trip between a
 * settlement and the next grant. They occupy slots, so the server needs more slots than it runs concurrently.
 * @property registrationMilliseconds maximum time for which a new primary allotter waits for registrations.
 * @property secondaryRegistrationMilliseconds time for which a secondary allotter collects registrations.
 * @property handoverMilliseconds time for which a replaced allotter keeps serving routers that have not switched yet.
 * @property creditEstimates bound on the difference between teams' counters that registrations carry over to a new
 * allotter, in units of the largest cost estimate divided by share.
 * @property offerMoveMilliseconds wait after which an offer is moved to a shard of the pool without outstanding offers.
 * @property reserveFraction fraction of a shard's slots that all routers together use while no allotter is reachable.
 * @property reserveDelayMilliseconds time without an allotter before the local reserve is used.
 * @property unreachableMilliseconds time after which a disconnected or unresponsive router counts as unreachable.
 * @property retryMilliseconds interval between attempts to reach a preferred allotter, and the retry delay given to
 * callers while no server is eligible.
 * @property progressMilliseconds minimum interval between two progress reports for one shard.
 * @property progressGrowth factor by which a grant's cost must exceed its estimate or last report to be reported.
 * @property progressKeepAliveMilliseconds interval after which an active grant is reported even if its cost is
 * unchanged.
 * @property repairMilliseconds time without a progress report after which an allotter requests a new registration, and
 * time without a grant after which a router resends an offer.
 */
public data class SharingSettings(
    val offersPerTeam: Int = 8,
    val queuePerTeam: Int = 256,
    val queueTotal: Int = 4_096,
    val lookAhead: Int = 1,
    val registrationMilliseconds: Long = 400,
    val secondaryRegistrationMilliseconds: Long = 100,
    val handoverMilliseconds: Long = 2_000,
    val creditEstimates: Double = 1.0,
    val offerMoveMilliseconds: Long = 200,
    val reserveFraction: Double = 0.25,
    val reserveDelayMilliseconds: Long = 200,
    val unreachableMilliseconds: Long = 300,
    val retryMilliseconds: Long = 1_000,
    val progressMilliseconds: Long = 1_000,
    val progressGrowth: Double = 1.3,
    val progressKeepAliveMilliseconds: Long = 10_000,
    val repairMilliseconds: Long = 30_000,
)
