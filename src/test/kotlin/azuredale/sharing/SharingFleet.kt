package azuredale.sharing

import azuredale.configuration.AcceptedDocument
import azuredale.configuration.Document
import azuredale.configuration.Requirement
import azuredale.configuration.Team
import azuredale.identity.Incarnation
import azuredale.identity.ModelVersion
import azuredale.identity.RequestNumber
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.membership.Member
import azuredale.node.NodeEffect
import azuredale.outcome.Failure
import azuredale.outcome.Outcome
import azuredale.protocol.PeerMessage
import azuredale.time.Timestamp
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Simulates the sharing controllers of several routers in virtual time, with servers of fixed speed.
 *
 * @param concurrency number of requests that a server runs at once, unlimited by default; others wait inside it.
 * @param reportMilliseconds period of the load reports, which reach all routers one period late; null for no reports.
 */
internal class SharingFleet(
    var document: Document,
    routerCount: Int,
    private val latencyMicroseconds: Long = 2_000,
    private val settings: SharingSettings = SharingSettings(),
    private val speeds: Map<ServerId, Double> = emptyMap(),
    private val concurrency: Map<ServerId, Int> = emptyMap(),
    private val reportMilliseconds: Long? = null,
) {
    /** A request to submit, with its actual cost. */
    data class Work(
        val team: TeamId,
        val cost: Double,
        val hint: Double? = null,
        val modelVersion: ModelVersion? = null,
    )

    inner class Router(
        val id: RouterId,
        var incarnation: Long,
    ) {
        var isRunning = true
        var isPaused = false
        var mayGiveOutWork = true
        var members: List<Member> = emptyList()
        val work = HashMap<RequestNumber, Work>()
        lateinit var allotter: AllotterController
        lateinit var requester: RequesterController

        fun start() {
            val started = Incarnation(incarnation)
            val environment =
                SharingEnvironment(id, started, testRegion, { members }, { accepted }, { mayGiveOutWork }, Random(1))
            allotter = AllotterController(environment, settings)
            requester = RequesterController(environment, settings)
        }

        fun submit(item: Work, deadline: Timestamp = now.plusSeconds(10_000)): Outcome<List<NodeEffect>> {
            val number = RequestNumber(incarnation * 1_000_000 + nextNumber++)
            work[number] = item
            val requirement = Requirement(testPool, item.modelVersion)
            val outcome = requester.submit(QueuedRequest(number, item.team, requirement, deadline, item.hint), now)
            if (outcome is Outcome.Success) {
                waiting.merge(item.team, 1, Int::plus)
                apply(this, outcome.value)
            }
            return outcome
        }
    }

    private class Event(
        val at: Timestamp,
        val order: Long,
        val action: () -> Unit,
    )

    var now = Timestamp(0)
        private set
    var accepted = AcceptedDocument(Revision(1), "", document)
        private set
    val running = LinkedHashMap<RequestNumber, RunningRequest>()
    val waiting = HashMap<TeamId, Int>()
    val served = HashMap<TeamId, Double>()
    val failures = ArrayList<Failure>()
    val granted = ArrayList<Pair<TeamId, ServerId>>()
    val sent = ArrayList<Pair<RouterId, PeerMessage>>()
    var onSend: (RouterId, RouterId, PeerMessage, Timestamp) -> Unit = { _, _, _, _ -> }
    var isPartitioned: (RouterId, RouterId) -> Boolean = { _, _ -> false }
    var drops: (PeerMessage) -> Boolean = { false }
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var nextOrder = 0L
    private var nextNumber = 1L

    val routers: List<Router> = (1..routerCount).map { Router(RouterId("router-$it"), incarnation = 1) }

    init {
        routers.forEach { it.members = routers.map { peer -> testMember(peer.id) } }
        routers.forEach { it.start() }
        routers.forEach { router -> scheduleTick(router, router.incarnation) }
        reportMilliseconds?.let(::scheduleReports)
    }

    fun router(id: RouterId): Router = routers.first { it.id == id }

    /** The first running router that is a primary allotter. */
    fun allotter(): Router = routers.first { router ->
        val snapshot = router.allotter.snapshot()
        router.isRunning && snapshot.shards.any { it.isPrimary }
    }

    fun at(time: Timestamp, action: () -> Unit) {
        events += Event(time, nextOrder++, action)
    }

    fun run(milliseconds: Long, onStep: () -> Unit = {}) {
        val end = now.plusMilliseconds(milliseconds)
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.poll()
            now = event.at
            event.action()
            onStep()
        }
        now = end
    }

    /** Service received by [team] so far, divided by its share. */
    fun service(team: Team): Double {
        val inProgress = running.values.filter { it.work.team == team.id }.sumOf { it.delivered(now) }
        return ((served[team.id] ?: 0.0) + inProgress) / team.share
    }

    fun updateDocument(changed: Document) {
        document = changed
        accepted = AcceptedDocument(Revision(accepted.revision.value + 1), "", changed)
        routers.filter { it.isRunning }.forEach { router ->
            apply(router, router.allotter.documentChanged(now))
            apply(router, router.requester.documentChanged(now))
        }
    }

    fun setMembers(router: Router, members: List<Member>) {
        router.members = members
        apply(router, router.allotter.membersChanged(now))
        apply(router, router.requester.membersChanged(now))
    }

    /** Kills a router's process; its running requests end without settlement. */
    fun crash(router: Router) {
        router.isRunning = false
        running.values.removeIf { it.router === router }
    }

    fun restart(router: Router) {
        running.values.removeIf { it.router === router }
        router.incarnation++
        router.isRunning = true
        router.isPaused = false
        router.work.clear()
        router.start()
        scheduleTick(router, router.incarnation)
    }

    /** Suspends or resumes a router's process; its requests at the servers continue. */
    fun setPaused(router: Router, isPaused: Boolean) {
        router.isRunning = !isPaused
        router.isPaused = isPaused
    }

    fun disconnect(router: Router, peer: Router) {
        apply(router, router.allotter.peerDisconnected(peer.id, now))
        apply(router, router.requester.peerDisconnected(peer.id, now))
    }

    fun connect(router: Router, peer: Router) {
        apply(router, router.allotter.peerConnected(peer.id, now))
        apply(router, router.requester.peerConnected(peer.id, now))
    }

    fun apply(router: Router, effects: List<NodeEffect>): Unit = effects.forEach { effect ->
        when (effect) {
            is NodeEffect.SendMessage -> send(router, effect)
            is NodeEffect.SlotGranted -> begin(router, effect)
            is NodeEffect.SlotRefused -> {
                waiting.merge(router.work.remove(effect.slot)!!.team, -1, Int::plus)
                failures += effect.failure
            }
            else -> error("unexpected effect $effect")
        }
    }

    fun messages(effects: List<NodeEffect>): List<PeerMessage> =
        effects.filterIsInstance<NodeEffect.SendMessage>().map { it.message }

    private fun send(router: Router, effect: NodeEffect.SendMessage) {
        sent += router.id to effect.message
        onSend(router.id, effect.to, effect.message, now)
        val target = router(effect.to)
        val delay = if (target === router) 0 else latencyMicroseconds
        if (target !== router && (isPartitioned(router.id, target.id) || drops(effect.message))) return
        at(now.plusMicroseconds(delay)) { if (target.isRunning) deliver(target, router.id, effect.message) }
    }

    private fun deliver(target: Router, from: RouterId, message: PeerMessage) {
        apply(target, target.allotter.messageReceived(from, message, now))
        apply(target, target.requester.messageReceived(from, message, now))
    }

    private fun begin(router: Router, effect: NodeEffect.SlotGranted) {
        val work = router.work.remove(effect.slot)!!
        waiting.merge(work.team, -1, Int::plus)
        granted += work.team to effect.server
        running[effect.slot] = RunningRequest(router, effect.slot, work, effect.server)
        startNext(effect.server)
    }

    private fun startNext(server: ServerId) {
        val present = running.values.filter { it.server == server }
        val limit = concurrency[server] ?: Int.MAX_VALUE
        if (present.count { it.isStarted } >= limit) return
        val next = present.firstOrNull { !it.isStarted } ?: return
        next.start(now, speeds[server] ?: 100.0)
        val incarnation = next.router.incarnation
        at(next.endsAt) { end(next, incarnation) }
        startNext(server)
    }

    private fun end(run: RunningRequest, incarnation: Long) {
        if (!run.router.isRunning && run.router.incarnation == incarnation && run.number in running) {
            at(now.plusMilliseconds(20)) { end(run, incarnation) }
            return
        }
        if (running.remove(run.number) == null || run.router.incarnation != incarnation) return
        startNext(run.server)
        served.merge(run.work.team, run.work.cost, Double::plus)
        apply(run.router, run.router.requester.settled(run.number, run.work.cost, hasServerFailed = false, now))
    }

    private fun scheduleTick(router: Router, incarnation: Long) {
        at(now.plusMilliseconds(20)) {
            if (router.incarnation != incarnation) return@at
            if (router.isRunning) tick(router)
            scheduleTick(router, incarnation)
        }
    }

    private fun tick(router: Router) {
        running.values.filter { it.router === router }.forEach { run ->
            apply(router, router.requester.progressed(run.number, run.delivered(now), now))
        }
        apply(router, router.allotter.tick(now))
        apply(router, router.requester.tick(now))
    }

    private fun scheduleReports(period: Long): Unit = at(now.plusMilliseconds(period)) {
        document.servers.values.forEach { server ->
            val present = running.values.filter { it.server == server.id }
            val started = present.count { it.isStarted }
            val speed = started * (speeds[server.id] ?: 100.0)
            val report = LoadReport(server.id, server.failureDomain, started, present.size - started, speed, now)
            at(now.plusMilliseconds(period)) {
                routers.filter { it.isRunning }.forEach { apply(it, it.allotter.loadReported(report, now)) }
            }
        }
        scheduleReports(period)
    }
}
