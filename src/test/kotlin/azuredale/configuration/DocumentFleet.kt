package azuredale.configuration

import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.membership.MembershipCallbacks
import azuredale.membership.SimulatedFleet
import azuredale.membership.SimulatedNode
import azuredale.node.NodeEffect
import azuredale.time.Timestamp
import kotlin.random.Random

/** Simulates a fleet in virtual time: document controllers with failure detectors and one key-value service. */
internal class DocumentFleet(
    private val count: Int,
    seed: Int,
) {
    private class Delivery(
        val at: Timestamp,
        val to: RouterId,
        val from: RouterId?,
        val action: DocumentController.(Timestamp) -> List<NodeEffect>,
    )

    private val random = Random(seed)
    private val fleet = SimulatedFleet(seed)
    private val controllers = HashMap<RouterId, DocumentController>()
    private val versions = HashMap<RouterId, Long>()
    private val watchers = HashSet<RouterId>()
    private val deliveries = ArrayList<Delivery>()
    private val documents = HashMap<Long, AcceptedDocument>()

    /** Accepted revisions and the times of their acceptance. */
    val accepted = ArrayList<Pair<Timestamp, Revision>>()

    /** Whether a node can reach the service. */
    var reachesService: (RouterId) -> Boolean = { true }

    /** Side of the network partition on which a node is. */
    var side: (RouterId) -> Int = { 0 }
    var reads = 0
    val now: Timestamp get() = fleet.now
    val nodes: List<SimulatedNode> get() = fleet.nodes
    private val newest: Revision get() = accepted.lastOrNull()?.second ?: Revision.NONE

    init {
        fleet.isConnected = { from, to -> side(from.id) == side(to.id) }
        repeat(count) { start(it) }
    }

    fun controller(node: SimulatedNode): DocumentController = controllers.getValue(node.id)

    fun start(number: Int) {
        val id = fleet.idOf(number)
        lateinit var started: SimulatedNode
        val links =
            MembershipCallbacks(
                revision = { controllers[id]?.document()?.revision ?: Revision.NONE },
                confirmation = { controllers[id]?.confirmation(it) },
                onConfirmation = { confirmation, router, revision, at ->
                    perform(id, controllers.getValue(id).confirmationReceived(confirmation, at))
                    perform(id, controllers.getValue(id).peerRevision(router, revision, at))
                    emptyList()
                },
            )
        started = fleet.start(number, links)
        watchers -= id
        versions -= id
        controllers[id] =
            DocumentController(id, started.controller.self.failureDomain) {
                maxOf(started.controller.fleetSize(), SEEDS)
            }
    }

    /** Accepts a new document through [node] if the node may accept one. Returns whether it was accepted. */
    fun submit(node: SimulatedNode, check: () -> Unit = {}): Boolean {
        val controller = controller(node)
        if (!node.isRunning) return false
        repeat(5) {
            if (!controller.isConnectedWithMajority(now)) run(20, check)
        }
        val mayAccept = reachesService(node.id) && controller.isConnectedWithMajority(now)
        if (!mayAccept || (controller.document()?.revision ?: Revision.NONE) != newest) return false
        val document = documentOf(newest.value + 1)
        accepted += now to document.revision
        perform(node.id, controller.documentRead(document, now))
        watchers.forEach { watcher -> answer(watcher, 20) { documentRead(document, it) } }
        return true
    }

    /** Runs for [milliseconds] and calls [check] in every tick before the nodes handle events. */
    fun run(milliseconds: Long, check: () -> Unit = {}) {
        fleet.run(milliseconds) {
            check()
            deliver()
            nodes.filter { it.isRunning }.forEach { node ->
                val version = node.controller.version
                if (versions.put(node.id, version) != version) {
                    perform(node.id, controller(node).membersChanged(node.controller.allKnown(), now))
                }
                perform(node.id, controller(node).tick(now))
            }
            false
        }
    }

    private fun deliver() {
        val (due, later) = deliveries.partition { it.at <= now }
        deliveries.clear()
        deliveries += later
        due.forEach { delivery ->
            val node = nodes.find { it.id == delivery.to } ?: return@forEach
            val isConnected = delivery.from == null || side(delivery.from) == side(node.id)
            when {
                // A paused process receives the messages that arrived during the pause after it resumes.
                !node.isRunning -> deliveries += delivery
                isConnected -> perform(node.id, delivery.action(controller(node), now))
            }
        }
    }

    private fun perform(id: RouterId, effects: List<NodeEffect>) = effects.forEach { effect ->
        when (effect) {
            is NodeEffect.SendMessage ->
                deliveries +=
                    Delivery(now.plusMilliseconds(2), effect.to, id) {
                        messageReceived(id, effect.message, it)
                    }
            is NodeEffect.ReadDocument -> read(id)
            is NodeEffect.WatchDocument -> if (effect.isWatching) watchers += id else watchers -= id
            else -> Unit
        }
    }

    private fun read(id: RouterId) {
        reads++
        if (!reachesService(id)) return answer(id, random.nextLong(1, 900)) { platformFailed(it) }
        val document = accepted.lastOrNull()?.let { documentOf(it.second.value) }
        answer(id, random.nextLong(2, 40)) { documentRead(document, it) }
    }

    private fun answer(id: RouterId, milliseconds: Long, action: DocumentController.(Timestamp) -> List<NodeEffect>) {
        deliveries += Delivery(now.plusMilliseconds(milliseconds), id, null, action)
    }

    private fun documentOf(revision: Long) = documents.getOrPut(revision) { DocumentFixture.accepted(revision) }

    private companion object {
        const val SEEDS = 3
    }
}
