package azuredale.sharing

/**
 * Parameters of allotter and requester. Periods are converted to deadlines when used.
 *
 * @property headsPerTeam most requests that a router offers to an allotter for one team and shard.
 * @property queuePerTeam most requests that wait at one router for one team.
 * @property queueTotal most requests that wait at one router.
 * @property lookAhead requests that may wait inside a backend server to hide the round trip from settlement to the next
 * grant; they count against the server's slots, so they need slots above the number that the server runs at once.
 * @property registrationMilliseconds longest time for which a new allotter waits for registrations.
 * @property secondaryMilliseconds time for which an allotter that is not the first in order collects registrations.
 * @property handoverMilliseconds time for which a replaced allotter still serves routers that have not moved.
 * @property creditRequests bound on the counter difference taken over by registration, in largest estimates per share.
 * @property moveMilliseconds an offer that waits this long moves to a shard of the pool that has no offer waiting.
 * @property reserveFraction part of a shard's slots that all routers together use while no allotter is reachable.
 * @property reserveDelayMilliseconds time without an allotter before the local reserve is used.
 * @property lossMilliseconds time after which a router that is disconnected or does not answer counts as unreachable.
 * @property retryMilliseconds time before an unreachable allotter is tried again.
 * @property progressMilliseconds least time between two progress reports for one shard.
 * @property progressGrowth a grant is reported when its cost has passed its estimate or the last report by this factor.
 * @property silenceMilliseconds a running grant is reported after this time even when its cost is unchanged.
 * @property repairMilliseconds an allotter asks for registration when a grant was not reported for this time, and a
 * router repeats offers that were not granted for this time.
 */
public data class SharingSettings(
    val headsPerTeam: Int = 8,
    val queuePerTeam: Int = 256,
    val queueTotal: Int = 4_096,
    val lookAhead: Int = 1,
    val registrationMilliseconds: Long = 400,
    val secondaryMilliseconds: Long = 100,
    val handoverMilliseconds: Long = 2_000,
    val creditRequests: Double = 1.0,
    val moveMilliseconds: Long = 200,
    val reserveFraction: Double = 0.25,
    val reserveDelayMilliseconds: Long = 200,
    val lossMilliseconds: Long = 300,
    val retryMilliseconds: Long = 1_000,
    val progressMilliseconds: Long = 1_000,
    val progressGrowth: Double = 1.3,
    val silenceMilliseconds: Long = 10_000,
    val repairMilliseconds: Long = 30_000,
)
