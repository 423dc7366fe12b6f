package azuredale.outcome

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.node.ClaimResult
import azuredale.platform.PlatformFixture
import azuredale.platform.StoreClient
import azuredale.standin.PlatformFaults
import azuredale.store.CallRateLimiter
import azuredale.store.KeyValueService
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class KeyClaimerSpec {
    private val team = TeamId("outlet-01")
    private val nonces = AtomicInteger()

    private fun PlatformFixture.claimer(
        router: String = "r1",
        service: KeyValueService = client,
        retentionSeconds: Long = 100,
    ) = KeyClaimer(
        service,
        clock,
        RouterId(router),
        Incarnation(7),
        { "nonce-${nonces.incrementAndGet()}" },
        retentionSeconds,
    )

    /** Faults during a claim, the expected result, and the expected result of a second claim after the faults end. */
    enum class FaultCase(
        val faults: PlatformFaults,
        val first: ClaimResult,
        val second: ClaimResult,
    ) {
        LOST_REPLY(PlatformFaults(lostReplies = 1), ClaimResult.CLAIMED, ClaimResult.HELD),
        LOST_REPLIES(PlatformFaults(lostReplies = 3), ClaimResult.CLAIMED, ClaimResult.HELD),
        EVERY_REPLY_LOST(PlatformFaults(lostReplies = 99), ClaimResult.UNKNOWN, ClaimResult.HELD),
        LOST_REQUEST(PlatformFaults(lostRequests = 1), ClaimResult.CLAIMED, ClaimResult.HELD),
        EVERY_REQUEST_LOST(PlatformFaults(lostRequests = 99), ClaimResult.UNKNOWN, ClaimResult.CLAIMED),
        OUTAGE(PlatformFaults(isDown = true), ClaimResult.UNAVAILABLE, ClaimResult.CLAIMED),
        REFUSED(PlatformFaults(errorStatus = 429), ClaimResult.UNAVAILABLE, ClaimResult.CLAIMED),
    }

    @ParameterizedTest
    @EnumSource(FaultCase::class)
    fun `returns a result that matches the stored claim`(case: FaultCase) = PlatformFixture.run {
        // Guards against running a request twice, and against reporting it as not run while its key stays claimed.
        standIn.faults = case.faults
        assertEquals(case.first, claimer().claim(team, "key", deadline()))
        standIn.faults = PlatformFaults()
        assertEquals(case.second, claimer("r2").claim(team, "key", deadline()))
    }

    @Test
    fun `lets exactly one of several claimers claim a key`() = PlatformFixture.run { scope ->
        // Guards against two routers running requests with the same key.
        val claimers = (1..8).map { claimer("r$it") }
        repeat(10) { round ->
            standIn.faults = PlatformFaults(lostReplies = round % 4, lostRequests = round % 3)
            val results = claimers.map { scope.async { it.claim(team, "key-$round", deadline()) } }.awaitAll()
            assertEquals(1, results.count { it == ClaimResult.CLAIMED }, "round $round: $results")
            assertEquals(7, results.count { it == ClaimResult.HELD }, "round $round: $results")
        }
    }

    @Test
    fun `keeps keys of two teams apart`() = PlatformFixture.run {
        assertEquals(ClaimResult.CLAIMED, claimer().claim(team, "key", deadline()))
        assertEquals(ClaimResult.CLAIMED, claimer().claim(TeamId("outlet-02"), "key", deadline()))
    }

    @Test
    fun `takes a new lease when the shared one has ended`() = PlatformFixture.run {
        // Guards against a router that cannot claim any keys until it is restarted.
        val claimer = claimer()
        assertEquals(ClaimResult.CLAIMED, claimer.claim(team, "a", deadline()))
        standIn.endLeases()
        assertEquals(ClaimResult.CLAIMED, claimer.claim(team, "b", deadline()))
        assertEquals(ClaimResult.HELD, claimer("r2").claim(team, "b", deadline()))
    }

    @Test
    fun `costs one call for each claim and stops at the budget`() = PlatformFixture.run {
        // Guards against granting a lease per claim, which would double the number of calls.
        val small = CallRateLimiter(callsPerSecond = 0.001, burst = 21, clock)
        val claimer = claimer(service = StoreClient(vertx, address, small, clock))
        val results = (1..25).map { claimer.claim(team, "key-$it", deadline()) }
        assertEquals(20, results.count { it == ClaimResult.CLAIMED })
        assertTrue(results.drop(20).all { it == ClaimResult.BUDGET_EXHAUSTED }, results.toString())
        assertEquals(21, standIn.callsReceived)
    }
}
