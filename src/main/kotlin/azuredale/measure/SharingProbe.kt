package azuredale.measure

import azuredale.configuration.AcceptedDocument
import azuredale.configuration.Requirement
import azuredale.identity.Incarnation
import azuredale.identity.RequestNumber
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.membership.Member
import azuredale.node.NodeEffect
import azuredale.protocol.Demand
import azuredale.protocol.Grant
import azuredale.protocol.PeerMessage
import azuredale.protocol.Register
import azuredale.protocol.RequestOffer
import azuredale.protocol.Settle
import azuredale.protocol.ShardId
import azuredale.protocol.TeamDemand
import azuredale.sharing.AllotterController
import azuredale.sharing.QueuedRequest
import azuredale.sharing.RequesterController
import azuredale.sharing.SharingEnvironment
import azuredale.sharing.SharingSettings
import azuredale.sharing.Topology
import azuredale.time.Timestamp
import azuredale.transport.MessageSizes
import kotlin.random.Random

/** Measures an allotter and a requester of one shard at a given size. */
internal class SharingProbe(
    private val size: CapacitySize,
    private val accepted: AcceptedDocument,
    private val members: () -> List<Member>,
    seed: Long,
) {
    private val random = Random(seed)
    private val shard =
        ShardId(
            accepted.document.pools.keys
                .first(),
        )
    private val teams =
        accepted.document.teams.values
            .filter { shard.pool in it.pools }
            .map { it.id }
            .take(size.backlogged)
    private val all = members()
    private val self = leader()
    private val settings = SharingSettings()
    private val sizes = MessageSizes()
    private var now = Timestamp(1_700_000_000_000_000)
    private var nextNumber = 1L
    private val running = ArrayDeque<Pair<RouterId, RequestNumber>>()

    fun rows(): List<CapacityRow> = allotterRows() + requesterRows()

    private fun allotterRows(): List<CapacityRow> {
        val (_, boundHeap) = CapacityMeter.retainedHeap { filledAllotter(settings.offersPerTeam) }
        val (allotter, heap) = CapacityMeter.retainedHeap { filledAllotter(offers = 1) }
        val cycle = CapacityMeter.microseconds(size.rounds) { cycle(allotter) }
        val tick =
            CapacityMeter.microseconds(size.rounds) {
                now = now.plusMilliseconds(1)
                allotter.tick(now)
            }
        return listOf(
            CapacityRow("allotter heap, one head per team and router", heap, "bytes"),
            CapacityRow("allotter heap, ${settings.offersPerTeam} heads per team and router", boundHeap, "bytes"),
            CapacityRow("allotter heads, one per team and router", (all.size * teams.size).toDouble(), "rows"),
            CapacityRow("allotter grants running", running.size.toDouble(), "grants"),
            CapacityRow("allotter demand, settlement and grant", cycle, "us/request"),
            CapacityRow("allotter tick", tick, "us/tick"),
            CapacityRow("message Demand, one head", bytes(demand()), "bytes"),
            CapacityRow("message Grant", bytes(grant(RequestNumber(NUMBER))), "bytes"),
            CapacityRow("message Settle", bytes(Settle(shard, RequestNumber(NUMBER), COST, false)), "bytes"),
            CapacityRow("message Register, all backlogged teams", bytes(register(offers = 1)), "bytes"),
        )
    }

    private fun filledAllotter(offers: Int): AllotterController {
        running.clear()
        val allotter = AllotterController(environment(self))
        allotter.documentChanged(now)
        all.forEach { track(allotter.messageReceived(it.router, register(offers), now)) }
        now = now.plusSeconds(1)
        track(allotter.tick(now))
        check(running.isNotEmpty()) { "the allotter of $shard sent no grant" }
        return allotter
    }

    private fun cycle(allotter: AllotterController) {
        now = now.plusMicroseconds(CYCLE_MICROSECONDS)
        track(allotter.messageReceived(all.random(random).router, demand(), now))
        val (router, request) = running.removeFirst()
        track(allotter.messageReceived(router, Settle(shard, request, COST, false), now))
    }

    private fun requesterRows(): List<CapacityRow> {
        val router = all.first { it.router != self }.router
        val (requester, heap) =
            CapacityMeter.retainedHeap {
                RequesterController(environment(router)).also { filled ->
                    teams.forEach { filled.submit(request(it), now) }
                }
            }
        val cycle =
            CapacityMeter.microseconds(size.rounds) {
                val request = request(teams.random(random))
                now = now.plusMicroseconds(CYCLE_MICROSECONDS)
                requester.submit(request, now)
                requester.messageReceived(self, grant(request.number), now)
                requester.settled(request.number, COST, hasServerFailed = false, now)
            }
        val tick = CapacityMeter.microseconds(size.rounds) { requester.tick(now) }
        return listOf(
            CapacityRow("requester heap, one request of each backlogged team", heap, "bytes"),
            CapacityRow("requester submission, grant and settlement", cycle, "us/request"),
            CapacityRow("requester tick", tick, "us/tick"),
        )
    }

    private fun leader(): RouterId {
        val topology = Topology()
        return topology.order(shard, topology.shardMap(accepted), all.associateBy { it.router }).first()
    }

    private fun environment(router: RouterId): SharingEnvironment {
        val region = all.first { it.router == router }.region
        return SharingEnvironment(router, Incarnation(1), region, members, { accepted }, { true }, random)
    }

    private fun request(team: TeamId): QueuedRequest =
        QueuedRequest(RequestNumber(nextNumber++), team, Requirement(shard.pool), now.plusSeconds(DEADLINE_SECONDS))

    private fun grant(request: RequestNumber) = Grant(shard, request, servers.random(random))

    private val servers = accepted.document.serversOf(shard.pool).map { it.id }

    private fun offer() = RequestOffer(RequestNumber(nextNumber++), COST)

    private fun demand() = Demand(shard, listOf(TeamDemand(teams.random(random), 1, listOf(offer()))))

    private fun register(offers: Int): Register {
        val waiting = teams.map { team -> TeamDemand(team, offers, List(offers) { offer() }) }
        return Register(shard, Incarnation(1), emptyList(), emptyList(), waiting)
    }

    /** Returns the size of [message] in bytes once both ends of the connection know the names in it. */
    private fun bytes(message: PeerMessage): Double {
        val peer = RouterId("peer")
        sizes(peer, self, message)
        return sizes(peer, self, message).toDouble()
    }

    private fun track(effects: List<NodeEffect>): Unit = effects.filterIsInstance<NodeEffect.SendMessage>().forEach {
        val message = it.message
        if (message is Grant) running += it.to to message.request
    }

    private companion object {
        const val COST = 456.0
        const val NUMBER = 1_000_000L
        const val DEADLINE_SECONDS = 600L
        const val CYCLE_MICROSECONDS = 15_000L
    }
}
