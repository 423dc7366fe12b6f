package azuredale.admission

import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.outcome.ErrorKind
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Load pattern: a few teams send many times their usual load, more than the servers can handle in time. */
class TeamFloodSpec {
    private val start = Timestamp.ofMilliseconds(1_000_000)
    private val usage = TeamUsage()
    private val admission = LoadShedder(FairShares(usage)) { 0.5 }
    private val flood = TeamId("flood")
    private val small = TeamId("small")

    private fun request(team: TeamId, now: Timestamp = start) = AdmissionRequest(
        team = team,
        targetMilliseconds = 500,
        onTimeUntil = now.plusMilliseconds(500),
        deadline = now.plusMilliseconds(5_000),
        tokens = 9_000,
    )

    /** A window in which [flood] requested ten times as much as [small], and half of the total was granted. */
    private fun flooded() {
        usage.recordRequested(flood, 1_000_000, start)
        usage.recordGranted(flood, 450_000, start)
        usage.recordRequested(small, 100_000, start)
        usage.recordGranted(small, 100_000, start)
    }

    @Nested
    inner class BelowTheTarget {
        @Test
        fun `all requests are admitted while predictions are well within the target`() {
            // Guards against refusing requests while servers are idle.
            flooded()
            assertNull(admission.decide(request(flood), LatencyPrediction(150.0), start))
            assertNull(admission.decide(request(small), LatencyPrediction(150.0), start))
        }
    }

    @Nested
    inner class NearTheTarget {
        @Test
        fun `the flooding team is refused first`() {
            // Guards against a small team that is queued behind a large one for many seconds.
            usage.recordRequested(flood, 2_000_000, start)
            usage.recordGranted(flood, 900_000, start)
            usage.recordRequested(small, 600_000, start)
            usage.recordGranted(small, 100_000, start)
            val refusal = assertNotNull(admission.decide(request(flood), LatencyPrediction(300.0), start))
            assertEquals(ErrorKind.SHARE_EXCEEDED, refusal.kind)
            assertNull(admission.decide(request(small), LatencyPrediction(420.0), start))
        }

        @Test
        fun `a team that asks for much and got less than half of its share is refused last`() {
            // Guards against a team that falls further behind because it asks for more than its share.
            usage.recordRequested(flood, 2_000_000, start)
            usage.recordGranted(flood, 900_000, start)
            usage.recordRequested(small, 1_500_000, start)
            usage.recordGranted(small, 250_000, start)
            assertNotNull(admission.decide(request(flood), LatencyPrediction(500.0), start))
            assertNull(admission.decide(request(small), LatencyPrediction(500.0), start))
        }

        @Test
        fun `usage reported by other routers counts like local usage`() {
            // Guards against a team that spreads its flood over all routers, so that each sees only a small load.
            usage.updatePeer(
                RouterId("other"),
                mapOf(
                    TeamUsage.teamHash(flood) to TokenUsage(requested = 2_000_000, granted = 900_000),
                    TeamUsage.teamHash(small) to TokenUsage(requested = 600_000, granted = 100_000),
                ),
                asOf = start,
                validUntil = start.plusMilliseconds(1_000),
            )
            assertTrue(admission.shareRatio(flood, 9_000, start) > 1.0)
            assertTrue(admission.shareRatio(small, 9_000, start) < 0.5)
        }
    }

    @Nested
    inner class PastTheTarget {
        @Test
        fun `a request that would miss its target is refused as not run with a retry time`() {
            // Guards against server work on requests whose callers stop waiting before the response.
            val refusal = assertNotNull(admission.decide(request(small), LatencyPrediction(900.0), start))
            assertEquals(ErrorKind.PREDICTED_LATE, refusal.kind)
            val wait = assertNotNull(refusal.retryAt).microsecondsSince(start) / 1_000
            assertTrue(wait in 40..1_667, "retry after $wait ms; callers honour up to a third of 5 s")
        }

        @ParameterizedTest
        @CsvSource("0.0", "0.3", "0.7", "0.99")
        fun `retry times are spread`(spread: Double) {
            // Guards against refused callers that retry together and cause the next burst.
            val spreadAdmission = LoadShedder(FairShares(usage)) { spread }
            val other = LoadShedder(FairShares(usage)) { spread / 2 + 0.5 }
            val first = spreadAdmission.decide(request(small), LatencyPrediction(900.0), start)?.retryAt
            val second = other.decide(request(small), LatencyPrediction(900.0), start)?.retryAt
            assertTrue(first != second, "both return at $first")
        }
    }

    @Nested
    inner class Window {
        @Test
        fun `granted tokens expire with the window`() {
            // Guards against a team that is refused long after its flood has ended.
            flooded()
            assertTrue(usage.localUsage(start.plusMilliseconds(1_900)).isNotEmpty())
            assertTrue(usage.localUsage(start.plusMilliseconds(2_150)).isEmpty())
        }
    }
}
