package azuredale.routing

import azuredale.configuration.AcceptedDocument
import azuredale.identity.Region
import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.membership.MemberState
import azuredale.outcome.ErrorKind
import azuredale.outcome.Outcome
import azuredale.outcome.TicketController
import azuredale.outcome.refused
import azuredale.time.Timestamp
import kotlin.math.ln
import kotlin.random.Random

/**
 * Selects the routers that a caller should connect to.
 *
 * Candidates are routers that are alive and not draining. They are drawn at random, weighted by VM size and current
 * load, and interleaved by failure domain so that a caller spreads its requests over several domains. Routers of the
 * local region come before those of other regions.
 *
 * ```
 * val plan = planner.plan(AddressQuery(TeamId("counter"), count = 3, tickets = 2), now)
 * ```
 *
 * @param load latest known utilization of a router, from 0 to 1.
 */
public class AddressPlanner(
    private val region: Region,
    private val members: () -> List<Member>,
    private val document: () -> AcceptedDocument?,
    private val tickets: TicketController,
    private val load: (RouterId) -> Double,
    private val random: Random,
    private val validSeconds: Long = 30,
) {
    /** Handles [query]. Fails with `NOT_READY`, `UNKNOWN_TEAM`, or `DRAINING` when no router accepts new requests. */
    public fun plan(query: AddressQuery, now: Timestamp): Outcome<AddressPlan> {
        val teams = document()?.document?.teams ?: return refused(ErrorKind.NOT_READY)
        if (query.team !in teams) return refused(ErrorKind.UNKNOWN_TEAM, query.team.name)
        val usable = members().filter { it.state == MemberState.ALIVE && !it.isDraining }
        if (usable.isEmpty()) return refused(ErrorKind.DRAINING, "no router takes new work")
        val count = query.count.coerceIn(1, MAXIMUM_ADDRESSES)
        val ticketCount = query.tickets.coerceIn(0, MAXIMUM_TICKETS)
        val (near, far) = usable.partition { it.region == region }
        val chosen = (drawInterleaved(near) + drawInterleaved(far)).take(count)
        val addresses = chosen.map { member -> withTickets(member, query, ticketCount, now) }
        return Outcome.Success(AddressPlan(addresses, now.plusSeconds(validSeconds)))
    }

    private fun withTickets(member: Member, query: AddressQuery, ticketCount: Int, now: Timestamp): PlannedAddress {
        val issued = List(ticketCount) { tickets.issue(member.router, member.incarnation, query.team, now) }
        return PlannedAddress(member.router, member.callerAddress, member.failureDomain, issued)
    }

    /** Draws [candidates] in weighted random order, then interleaves them by failure domain (round robin). */
    private fun drawInterleaved(candidates: List<Member>): List<Member> {
        val drawn = candidates.sortedBy { -ln(1.0 - random.nextDouble()) / weight(it) }
        val turns = HashMap<String, Int>()
        return drawn
            .map { member -> member to turns.merge(member.failureDomain.name, 1, Int::plus) }
            .sortedBy { (_, turn) -> turn }
            .map { (member, _) -> member }
    }

    // A fully loaded router keeps a small weight: it needs some traffic for a drop in its load to become visible.
    private fun weight(member: Member): Double =
        maxOf(member.weight, MINIMUM_WEIGHT) * maxOf(1.0 - load(member.router), MINIMUM_FREE_SHARE)

    private companion object {
        const val MAXIMUM_ADDRESSES = 16
        const val MAXIMUM_TICKETS = 64
        const val MINIMUM_WEIGHT = 0.001
        const val MINIMUM_FREE_SHARE = 0.05
    }
}
