package azuredale.routing

import azuredale.configuration.AcceptedDocument
import azuredale.configuration.BackendServer
import azuredale.configuration.Document
import azuredale.configuration.ModelVersionEntry
import azuredale.configuration.Pool
import azuredale.configuration.PoolKind
import azuredale.configuration.Secret
import azuredale.configuration.Team
import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.ModelVersion
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.RequestNumber
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.membership.Member
import azuredale.membership.MemberState
import azuredale.node.ClaimResult
import azuredale.node.NodeEffect
import azuredale.node.NodeEvent
import azuredale.outcome.Outcome
import azuredale.outcome.TicketController
import azuredale.outcome.TicketSigner
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

val FLEET_KEY = Secret("test fleet key")
val COUNTER = TeamId("counter")
val MODELS = PoolId("models")
val HERD = PoolId("herd")
val MODEL = ModelVersion("small@1")

fun server(name: String, pool: PoolId, port: Int): BackendServer = BackendServer(
    ServerId(name),
    pool,
    NetworkAddress("127.0.0.1", port),
    FailureDomain("fd-1"),
    slots = 8,
    modelVersions = if (pool == MODELS) setOf(MODEL) else emptySet(),
)

fun document(vararg servers: BackendServer): AcceptedDocument {
    val pools = listOf(Pool(MODELS, PoolKind.MODEL), Pool(HERD, PoolKind.SERVICE))
    val document =
        Document(
            failureDomains = mapOf(FailureDomain("fd-1") to Region("north")),
            teams =
                mapOf(
                    COUNTER to Team(COUNTER, 1.0, setOf(MODELS, HERD)),
                    TeamId("guest") to Team(TeamId("guest"), 1.0, emptySet()),
                ),
            pools = pools.associateBy { it.id },
            servers = servers.associateBy { it.id },
            modelVersions = mapOf(MODEL to ModelVersionEntry(MODEL)),
        )
    return AcceptedDocument(Revision(1), "", document)
}

fun member(name: String, domain: String = "fd-1", region: String = "north"): Member {
    val address = NetworkAddress("127.0.0.1", 1)
    return Member(
        RouterId(name),
        Incarnation(1),
        MemberState.ALIVE,
        Region(region),
        FailureDomain(domain),
        address,
        address,
        address,
    )
}

/** A router without peers. Its slot allocation grants every attempt at once to the first server that has not failed. */
class RouterFixture(
    private val vertx: Vertx,
    vararg servers: BackendServer,
    change: (EdgeSettings) -> EdgeSettings = { it },
) {
    private val scope = CoroutineScope(Dispatchers.Default)
    private val events = Channel<NodeEvent>(Channel.UNLIMITED)
    private val clock = systemClock()
    private val failed = ConcurrentHashMap.newKeySet<ServerId>()
    private val slots = ConcurrentHashMap<RequestNumber, ServerId>()
    private val self = RouterId("r1")
    val settled = CopyOnWriteArrayList<Double>()

    @Volatile
    var accepted: AcceptedDocument? = document(*servers)

    @Volatile
    var claim: (String) -> ClaimResult = { ClaimResult.CLAIMED }

    val tickets = TicketController(self, Incarnation(1), TicketSigner(FLEET_KEY))
    private val slotOperations =
        SlotOperations(
            submit = { queued, _ ->
                val usable = servers.filter { it.pool == queued.requirement.pool }
                val chosen = usable.firstOrNull { it.id !in failed } ?: usable.first()
                slots[queued.number] = chosen.id
                Outcome.Success(listOf(NodeEffect.SlotGranted(queued.number, chosen.id)))
            },
            withdraw = { _, _ -> emptyList() },
            progressed = { _, _, _ -> emptyList() },
            settled = { slot, cost, hasServerFailed, _ ->
                settled += cost
                slots.remove(slot)?.let { if (hasServerFailed) failed += it }
                emptyList()
            },
        )
    val controller = RequestController(slotOperations, { accepted }, { true }, tickets)
    private val planner =
        AddressPlanner(Region("north"), { listOf(member("r1")) }, { accepted }, tickets, { 0.0 }, Random(1))
    private val settings =
        EdgeSettings(self, Incarnation(1), NetworkAddress("127.0.0.1", 0), connectTimeoutMilliseconds = 500)
    val edge = HttpEdge(change(settings), vertx, { events.trySend(it) }, { accepted }, planner::plan, clock)

    suspend fun start() {
        edge.start()
        scope.launch {
            for (event in events) {
                // As in the daemon, an exception affects only one event. The test then sees no response and this trace.
                runCatching { perform(handle(event)) }.onFailure { it.printStackTrace() }
            }
        }
        scope.launch {
            while (true) {
                kotlinx.coroutines.delay(NodeEvent.TICK_MILLISECONDS)
                events.trySend(NodeEvent.Tick)
            }
        }
    }

    suspend fun stop() {
        scope.cancel()
        edge.stop()
        vertx.close().coAwait()
    }

    fun post(event: NodeEvent) {
        events.trySend(event)
    }

    private fun handle(event: NodeEvent): List<NodeEffect> {
        val now = clock()
        return when (event) {
            NodeEvent.Tick -> controller.tick(now)
            NodeEvent.DrainRequested -> controller.drain(now)
            is NodeEvent.RequestReceived -> controller.requestReceived(event.request, now)
            is NodeEvent.CallerGone -> controller.callerGone(event.request, now)
            is NodeEvent.AttemptProgressed ->
                controller.attemptProgressed(event.request, event.attempt, event.cost, now)
            is NodeEvent.AttemptEnded -> controller.attemptEnded(event.request, event.attempt, event.result, now)
            is NodeEvent.KeyClaimed -> controller.keyClaimed(event.request, event.result, now)
            else -> emptyList()
        }
    }

    private suspend fun perform(effects: List<NodeEffect>) {
        for (effect in effects) {
            when (effect) {
                is NodeEffect.SlotGranted -> perform(controller.slotGranted(effect.slot, effect.server, clock()))
                is NodeEffect.SlotRefused -> perform(controller.slotRefused(effect.slot, effect.failure, clock()))
                is NodeEffect.ClaimKey -> post(NodeEvent.KeyClaimed(effect.request, claim(effect.key)))
                else -> edge.execute(effect)
            }
        }
    }
}
