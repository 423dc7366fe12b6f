package azuredale.admission

import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.identity.TeamId
import azuredale.outcome.ErrorKind
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Load pattern: all callers of a team that asks for four times its share keep to one small router. */
class EarlyRefusalSpec {
    private val start = Timestamp.ofMilliseconds(1_000_000)
    private val usage = TeamUsage()
    private val admission = PromptAdmission(usage, LoadShedder(FairShares(usage)) { 0.5 })
    private val flood = TeamId("flood")
    private val prompt = PromptShape(listOf(PromptPart("own", 1_000)), 1_000, 0)
    private val busy = LatencyPrediction(200.0)

    private fun request(team: TeamId, now: Timestamp) =
        AdmissionRequest(team, 400, now.plusMilliseconds(400), now.plusMilliseconds(4_000))

    private fun flooded() {
        usage.recordRequested(flood, 2_000_000, start)
        usage.recordGranted(flood, 450_000, start)
        usage.recordRequested(TeamId("other"), 1_000_000, start)
        usage.recordGranted(TeamId("other"), 450_000, start)
    }

    /** Requests admitted and refused early of 400 that come one every two milliseconds. */
    private fun run(refusesEarly: Boolean): Pair<Int, Int> {
        flooded()
        var admitted = 0
        var early = 0
        repeat(400) {
            val now = start.plusMilliseconds(it * 2L)
            val refusal = if (refusesEarly) admission.refuseEarly(prompt, request(flood, now), now) else null
            if (refusal != null) {
                assertEquals(ErrorKind.SHARE_EXCEEDED, refusal.kind)
                early++
            } else if (admission.decide(prompt, request(flood, now), busy, now) == null) {
                admitted++
            }
        }
        return admitted to early
    }

    @Nested
    inner class Flood {
        @Test
        fun `most refusals of a flooding team come before a server is chosen`() {
            // Guards against a router that spends its time on requests which it refuses in the end.
            val (admitted, early) = run(refusesEarly = true)
            assertTrue(early > (400 - admitted) * 3 / 4, "$early of ${400 - admitted} refusals")
        }

        @Test
        fun `the team gets as much as without early refusals`() {
            val (admitted, _) = run(refusesEarly = true)
            val requested = usage.localUsage(start.plusMilliseconds(800)).getValue(TeamUsage.teamHash(flood)).requested
            val other = EarlyRefusalSpec()
            val (expected, _) = other.run(refusesEarly = false)
            assertTrue(admitted in expected - 2..expected + 2, "$admitted instead of $expected")
            assertEquals(2_400_000, requested)
        }
    }

    @Nested
    inner class Others {
        @Test
        fun `a team within its share is not refused early`() {
            // Guards against callers of small teams that pay for the flood of a large one.
            flooded()
            val small = TeamId("small")
            repeat(20) {
                val now = start.plusMilliseconds(it * 2L)
                assertNull(admission.refuseEarly(prompt, request(small, now), now))
                assertNull(admission.decide(prompt, request(small, now), busy, now))
            }
        }

        @Test
        fun `nobody is refused early once the servers are idle`() {
            // Guards against an old prediction that refuses requests for which there is room.
            run(refusesEarly = true)
            val idle = start.plusMilliseconds(810)
            admission.decide(prompt, request(flood, idle), LatencyPrediction(10.0), idle)
            assertNull(admission.refuseEarly(prompt, request(flood, idle), idle))
            val later = start.plusMilliseconds(1_500)
            assertNull(admission.refuseEarly(prompt, request(flood, later), later))
        }
    }
}
