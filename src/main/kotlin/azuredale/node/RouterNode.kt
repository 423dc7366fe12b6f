package azuredale.node

import azuredale.configuration.DocumentController
import azuredale.configuration.RouterSettings
import azuredale.identity.Incarnation
import azuredale.identity.PoolId
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.logging.EventLog
import azuredale.membership.Member
import azuredale.membership.MemberState
import azuredale.membership.MembershipCallbacks
import azuredale.membership.MembershipController
import azuredale.outcome.OutcomeLimits
import azuredale.outcome.TicketController
import azuredale.outcome.TicketSigner
import azuredale.protocol.BurnCounts
import azuredale.protocol.Confirmation
import azuredale.protocol.Demand
import azuredale.protocol.DocumentAnnounce
import azuredale.protocol.DocumentBody
import azuredale.protocol.DocumentRequest
import azuredale.protocol.Grant
import azuredale.protocol.PeerMessage
import azuredale.protocol.Progress
import azuredale.protocol.Register
import azuredale.protocol.RegisterRequest
import azuredale.protocol.Settle
import azuredale.protocol.Withdraw
import azuredale.report.BurnCountExchange
import azuredale.report.BurnTracker
import azuredale.report.RequestTimes
import azuredale.report.ServiceLevelObjective
import azuredale.report.TimedRequest
import azuredale.routing.RequestController
import azuredale.routing.RequestResult
import azuredale.routing.SlotOperations
import azuredale.sharing.AllotterController
import azuredale.sharing.RequesterController
import azuredale.sharing.SharingEnvironment
import azuredale.sharing.SharingSettings
import azuredale.sharing.sharingLog
import azuredale.time.Timestamp
import kotlin.random.Random

/**
 * The controllers of one router and the connections between them.
 *
 * Effects addressed to another controller of the same router are handled here; all others are returned to the I/O
 * layer. Workers may handle events with different [orderingKey]s concurrently; events with the same one must be handled
 * in order.
 *
 * ```
 * val node = RouterNode(settings, Incarnation(startedAt.microseconds), Random.Default)
 * node.handle(NodeEvent.Tick, clock()).forEach(edge::execute)
 * ```
 *
 * @param onRequestEnded called once for each finished caller request, to record metrics.
 */
public class RouterNode(
    private val settings: RouterSettings,
    private val incarnation: Incarnation,
    random: Random,
    sharingSettings: SharingSettings = SharingSettings(),
    private val onRequestEnded: (TimedRequest) -> Unit = { },
) : DecisionCore {
    private val log = EventLog("azuredale.node")
    private val self =
        Member(
            router = settings.router,
            incarnation = incarnation,
            state = MemberState.ALIVE,
            region = settings.region,
            failureDomain = settings.failureDomain,
            peerAddress = settings.peerAddress,
            probeAddress = settings.probeAddress,
            callerAddress = settings.callerAddress,
            weight = settings.weight,
        )

    /** Holds the document in force. */
    public val documents: DocumentController =
        DocumentController(
            settings.router,
            settings.failureDomain,
        ) { maxOf(membership.fleetSize(), settings.seeds.size) }

    /** Fleet membership and failure detection. */
    public val membership: MembershipController =
        MembershipController(
            initial = self,
            seeds = settings.seeds,
            random = random,
            callbacks =
                MembershipCallbacks(
                    revision = { documents.document()?.revision ?: Revision.NONE },
                    confirmation = documents::confirmation,
                    onConfirmation = ::peerConfirmationReceived,
                    onEvent = { event, router, detail -> log.write(event, "router" to router, "detail" to detail) },
                ),
        )

    private val sharing =
        SharingEnvironment(
            self = settings.router,
            incarnation = incarnation,
            region = settings.region,
            members = membership::members,
            document = documents::document,
            mayGiveOutWork = documents::mayGiveOutWork,
            random = random,
        )

    /** Assigns the slots of the shards whose allotter is this router. */
    public val allotter: AllotterController = AllotterController(sharing, sharingSettings, sharingLog())

    /** Queues this router's requests for slots. */
    public val requester: RequesterController = RequesterController(sharing, sharingSettings, sharingLog())

    /** Tickets, idempotency keys and the retained outcomes of their requests. */
    public val tickets: TicketController =
        TicketController(
            settings.router,
            incarnation,
            TicketSigner(settings.fleetKey),
            OutcomeLimits(ticketLifetimeSeconds = settings.ticketDeadlineSeconds),
        )

    /** Requests of this router's callers. */
    public val requests: RequestController =
        RequestController(
            slots =
                SlotOperations(
                    submit = requester::submit,
                    withdraw = requester::withdraw,
                    progressed = requester::progressed,
                    settled = requester::settled,
                ),
            document = documents::document,
            mayGiveOutWork = documents::mayGiveOutWork,
            tickets = tickets,
        )

    /** Counts of the fleet's requests that missed their objective, as far as known to this router. */
    public val burn: BurnTracker =
        BurnTracker(settings.router, incarnation, ServiceLevelObjective.DEFAULT, {
            objectives[it]
                ?: ServiceLevelObjective.DEFAULT
        })
    private val burnExchange = BurnCountExchange(settings.router, burn) { membership.members().map { it.router } }
    private val times = RequestTimes(MAXIMUM_TIMED_REQUESTS)
    private val drain = DrainProgress()

    @Volatile
    private var objectives: Map<PoolId, ServiceLevelObjective> = emptyMap()
    private var propagatedMembership = -1L
    private var propagatedRevision = Revision.NONE

    /** Whether a graceful shutdown has begun. */
    public val isDraining: Boolean get() = drain.isRequested

    override fun handle(event: NodeEvent, now: Timestamp): List<NodeEffect> {
        val output = mutableListOf<NodeEffect>()
        recordTimes(event, now)
        val pending = ArrayDeque(dispatch(event, now))
        if (orderingKey(event) == OrderingKey.REQUESTS) pending += propagateChanges(now)
        while (pending.isNotEmpty()) {
            val effect = pending.removeFirst()
            val followUps = handleLocally(effect, now)
            if (followUps == null) output += effect else pending += followUps
        }
        output.filterIsInstance<NodeEffect.FinishRequest>().forEach { recordEnd(it, now) }
        return output
    }

    private fun recordTimes(event: NodeEvent, now: Timestamp) {
        when (event) {
            is NodeEvent.RequestReceived ->
                times.received(event.request.number, event.request.team, event.request.requirement.pool, now)
            is NodeEvent.AttemptProgressed -> times.progressed(event.request, event.cost, now)
            else -> Unit
        }
    }

    private fun recordEnd(effect: NodeEffect.FinishRequest, now: Timestamp) {
        val failure = (effect.result as? RequestResult.Failed)?.failure?.kind
        val request = times.ended(effect.request, failure, now) ?: return
        burnExchange.requestEnded(request, now)
        onRequestEnded(request)
    }

    private fun dispatch(event: NodeEvent, now: Timestamp): List<NodeEffect> = when (event) {
        is NodeEvent.Tick -> tick(now)
        is NodeEvent.RequestReceived -> requests.requestReceived(event.request, now)
        is NodeEvent.CallerGone -> requests.callerGone(event.request, now)
        is NodeEvent.AttemptProgressed -> requests.attemptProgressed(event.request, event.attempt, event.cost, now)
        is NodeEvent.AttemptEnded -> requests.attemptEnded(event.request, event.attempt, event.result, now)
        is NodeEvent.KeyClaimed -> requests.keyClaimed(event.request, event.result, now)
        is NodeEvent.MessageReceived -> messageReceived(event.from, event.message, now)
        is NodeEvent.PeerConnected -> peerConnected(event.router, now)
        is NodeEvent.PeerDisconnected -> peerDisconnected(event.router, now)
        is NodeEvent.DatagramReceived -> membership.datagramReceived(event.from, event.message, now)
        is NodeEvent.DocumentRead -> documents.documentRead(event.document, now)
        is NodeEvent.RevisionConfirmed -> documents.revisionConfirmed(event.revision, now)
        is NodeEvent.PlatformFailed -> documents.platformFailed(now)
        is NodeEvent.VirtualMachinesListed -> membership.virtualMachinesListed(event.live, event.leaving, now)
        is NodeEvent.LoadReported -> allotter.loadReported(event.report, now)
        is NodeEvent.CacheEventsReceived -> allotter.cacheEventsReceived(event.events, now)
        is NodeEvent.DrainRequested -> drainRequested(now)
    }

    private fun tick(now: Timestamp): List<NodeEffect> = membership.tick(now) +
        documents.tick(now) +
        allotter.tick(now) +
        requester.tick(now) +
        requests.tick(now) +
        burnExchange.tick(now) +
        drain.tick(now, hasWork = !requests.isIdle(), leave = membership::leave)

    private fun drainRequested(now: Timestamp): List<NodeEffect> {
        drain.request()
        return membership.drain(now) + requests.drain(now)
    }

    private fun peerConnected(router: RouterId, now: Timestamp): List<NodeEffect> =
        allotter.peerConnected(router, now) + requester.peerConnected(router, now)

    private fun peerDisconnected(router: RouterId, now: Timestamp): List<NodeEffect> =
        allotter.peerDisconnected(router, now) + requester.peerDisconnected(router, now)

    private fun messageReceived(from: RouterId, message: PeerMessage, now: Timestamp): List<NodeEffect> =
        when (message) {
            is Register, is Demand, is Withdraw, is Progress, is Settle -> allotter.messageReceived(from, message, now)
            is Grant, is RegisterRequest -> requester.messageReceived(from, message, now)
            is DocumentAnnounce, is DocumentRequest, is DocumentBody -> documents.messageReceived(from, message, now)
            is BurnCounts -> burnExchange.received(from, message, now)
        }

    private fun peerConfirmationReceived(
        confirmation: Confirmation,
        router: RouterId,
        revision: Revision,
        now: Timestamp,
    ): List<NodeEffect> =
        documents.confirmationReceived(confirmation, now) + documents.peerRevision(router, revision, now)

    /** Notifies the other controllers of changes to the membership and the document since the last call. */
    private fun propagateChanges(now: Timestamp): List<NodeEffect> {
        val effects = mutableListOf<NodeEffect>()
        if (membership.hasChangedSince(propagatedMembership)) {
            propagatedMembership = membership.version
            effects += documents.membersChanged(membership.allKnown(), now)
            effects += allotter.membersChanged(now)
            effects += requester.membersChanged(now)
        }
        val revision = documents.document()?.revision ?: Revision.NONE
        if (revision != propagatedRevision) {
            propagatedRevision = revision
            objectives =
                documents
                    .document()
                    ?.document
                    ?.objectives
                    .orEmpty()
                    .mapValues { ServiceLevelObjective.of(it.value) }
            effects += allotter.documentChanged(now)
            effects += requester.documentChanged(now)
        }
        return effects
    }

    /** Handles an effect addressed to this router; returns null for one that the I/O layer must execute. */
    private fun handleLocally(effect: NodeEffect, now: Timestamp): List<NodeEffect>? = when (effect) {
        is NodeEffect.SlotGranted -> requests.slotGranted(effect.slot, effect.server, now)
        is NodeEffect.SlotRefused -> requests.slotRefused(effect.slot, effect.failure, now)
        is NodeEffect.SendMessage ->
            if (effect.to == settings.router) messageReceived(settings.router, effect.message, now) else null
        else -> null
    }

    public companion object {
        /** Capacity of the request table, with room for requests that are refused immediately. */
        private const val MAXIMUM_TIMED_REQUESTS = 8_192

        /** The key of the group in which [event] must be handled in order. */
        public fun orderingKey(event: NodeEvent): OrderingKey = when (event) {
            is NodeEvent.DatagramReceived, is NodeEvent.VirtualMachinesListed -> OrderingKey.MEMBERSHIP
            is NodeEvent.DocumentRead, is NodeEvent.RevisionConfirmed, is NodeEvent.PlatformFailed ->
                OrderingKey.DOCUMENT
            else -> OrderingKey.REQUESTS
        }
    }
}

/**
 * Groups of events that must be handled in order. Sharing and requests form one group, because messages to an allotter
 * are incremental state changes and must be sent in the order of the decisions.
 */
public enum class OrderingKey { MEMBERSHIP, DOCUMENT, REQUESTS }
