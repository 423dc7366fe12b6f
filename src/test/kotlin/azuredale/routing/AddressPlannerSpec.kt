package azuredale.routing

import azuredale.identity.Incarnation
import azuredale.identity.Region
import azuredale.identity.RequestNumber
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.membership.Member
import azuredale.membership.MemberState
import azuredale.outcome.ErrorKind
import azuredale.outcome.Execution
import azuredale.outcome.Failure
import azuredale.outcome.IdentityDecision
import azuredale.outcome.Outcome
import azuredale.outcome.TicketController
import azuredale.outcome.TicketSigner
import azuredale.time.Timestamp
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class AddressPlannerSpec {
    private val now = Timestamp.ofMilliseconds(1_000)
    private val signer = TicketSigner(FLEET_KEY)
    private val tickets = TicketController(RouterId("r1"), Incarnation(1), signer)

    private fun planner(members: List<Member>, load: (RouterId) -> Double = { 0.0 }) =
        AddressPlanner(Region("north"), { members }, { document() }, tickets, load, Random(SEED))

    private fun AddressPlanner.names(count: Int): List<String> {
        val outcome = plan(AddressQuery(COUNTER, count), now)
        return assertIs<Outcome.Success<AddressPlan>>(outcome).value.addresses.map { it.router.name }
    }

    @Test
    fun `returns neither draining nor failed routers`() {
        // Guards against directing new callers to a router that is about to stop.
        val members =
            listOf(
                member("up"),
                member("draining").copy(isDraining = true),
                member("suspect").copy(state = MemberState.SUSPECT),
                member("dead").copy(state = MemberState.DEAD),
            )
        assertEquals(listOf("up"), planner(members).names(4))
        val none = planner(members.drop(1)).plan(AddressQuery(COUNTER, 1), now)
        assertEquals(ErrorKind.DRAINING, assertIs<Outcome.Refused>(none).failure.kind)
        val stranger = planner(members).plan(AddressQuery(TeamId("nobody"), 1), now)
        assertEquals(Failure(ErrorKind.UNKNOWN_TEAM, "nobody"), assertIs<Outcome.Refused>(stranger).failure)
    }

    @Test
    fun `interleaves failure domains and puts the local region first`() {
        val members = (1..6).map { member("n$it", "fd-${it % 3}") } + (1..6).map { member("s$it", "fd-9", "south") }
        val planner = planner(members)
        repeat(200) {
            val names = planner.names(4)
            val domains = names.take(3).map { name -> members.first { it.router.name == name }.failureDomain }
            assertEquals(3, domains.toSet().size, "$names, seed $SEED")
            assertTrue(names.all { it.startsWith("n") }, "$names, seed $SEED")
        }
    }

    @Test
    fun `gives large and idle routers more callers`() {
        val members = listOf(member("small"), member("large").copy(weight = 3.0), member("loaded").copy(weight = 3.0))
        val planner = planner(members) { if (it.name == "loaded") 0.9 else 0.0 }
        val counts = (1..3_000).groupingBy { planner.names(1).single() }.eachCount()
        // The expected ratio small : large : loaded is 1 : 3 : 0.3.
        assertTrue(counts.getValue("large") in 1_900..2_300, "$counts, seed $SEED")
        assertTrue(counts.getValue("loaded") in 130..300, "$counts, seed $SEED")
    }

    @Test
    fun `issues tickets that only the named process accepts`() {
        val target = member("r2").copy(incarnation = Incarnation(7))
        val outcome = planner(listOf(target)).plan(AddressQuery(COUNTER, 1, tickets = 2), now)
        val issued =
            assertIs<Outcome.Success<AddressPlan>>(outcome)
                .value.addresses
                .single()
                .tickets
        assertEquals(2, issued.toSet().size)
        val uses =
            listOf("r2" to 7L, "r2" to 8L, "r3" to 7L).map { (router, incarnation) ->
                TicketController(RouterId(router), Incarnation(incarnation), signer)
                    .useTicket(issued[0], COUNTER, RequestNumber(1), now)
            }
        assertEquals(IdentityDecision.Run, uses[0])
        uses.drop(1).forEach {
            assertEquals(Execution.UNKNOWN, assertIs<IdentityDecision.Refused>(it).failure.execution)
        }
    }

    private companion object {
        const val SEED = 20_261_204
    }
}
