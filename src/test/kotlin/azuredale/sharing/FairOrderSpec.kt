package azuredale.sharing

import azuredale.configuration.Requirement
import azuredale.identity.RequestNumber
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.protocol.RequestOffer
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FairOrderSpec {
    private val order = FairOrder()
    private val requirement = Requirement(testPool)
    private val teams = listOf("a" to 1.0, "b" to 2.0).map { (name, share) -> order.row(TeamId(name), share) }

    private fun offer(team: TeamRow): OfferRow {
        val number = RequestNumber(team.team.hashCode().toLong())
        return OfferRow(GrantKey(RouterId("r"), number), team.team, requirement, RequestOffer(number), arrival = 0)
    }

    private fun queue(team: TeamRow): Unit = offer(team).let { row -> order.update(team) { team.add(row) } }

    private fun drain(team: TeamRow): Unit = offer(team).let { row -> order.update(team) { team.remove(row) } }

    @Nested
    inner class Counters {
        @Test
        fun `grow by cost over share and order the backlogged teams`() {
            // Guards against ignoring shares.
            teams.forEach(::queue)
            order.charge(teams[0], 10.0)
            order.charge(teams[1], 10.0)
            assertEquals(listOf(5.0, 10.0), order.backloggedTeams.map { it.counter })
        }

        @Test
        fun `of a team that becomes backlogged start at the lowest backlogged one but not below an earlier grant`() {
            // Guards against credit for idle time, even after a correction has lowered the counter of a waiting team.
            queue(teams[0])
            order.charge(teams[0], 100.0)
            order.recordGrant(teams[0], requirement)
            order.charge(teams[0], -40.0)
            queue(teams[1])
            assertEquals(100.0, teams[1].counter)
        }

        @Test
        fun `start at the highest one when no team is backlogged`() {
            // Guards against credit relative to a team that was served while no team was backlogged.
            order.charge(teams[0], 100.0)
            queue(teams[1])
            drain(teams[1])
            assertEquals(100.0, teams[1].counter)
        }
    }

    @Nested
    inner class Estimates {
        private val estimator = CostEstimator()
        private val team = TeamId("a")

        @Test
        fun `follow the average of ended requests and correct the hint`() {
            // Guards against estimates that stay at the initial cost or trust a consistently wrong hint.
            repeat(60) { estimator.settled(team, hint = 10.0, cost = 40.0, initial = 5.0) }
            assertEquals(40.0, estimator.estimate(team, null, 5.0), absoluteTolerance = 0.1)
            assertEquals(80.0, estimator.estimate(team, 20.0, 5.0), absoluteTolerance = 0.1)
        }

        @Test
        fun `stay in bounds for invalid and extreme hints`() {
            // Guards against hints near zero that obtain many grants before the first settlement.
            listOf(1e-30, -1.0, 0.0, Double.NaN, Double.POSITIVE_INFINITY, 1e30).forEach { hint ->
                val estimate = estimator.estimate(team, hint, initial = 16.0)
                assertTrue(estimate in 1.0..256.0, "hint $hint gives estimate $estimate")
            }
        }
    }
}
