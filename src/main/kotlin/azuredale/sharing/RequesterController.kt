package azuredale.sharing

import azuredale.configuration.AcceptedDocument
import azuredale.identity.RequestNumber
import azuredale.identity.RouterId
import azuredale.node.NodeEffect
import azuredale.outcome.ErrorKind
import azuredale.outcome.Outcome
import azuredale.outcome.refused
import azuredale.protocol.Grant
import azuredale.protocol.PeerMessage
import azuredale.protocol.RegisterRequest
import azuredale.time.Timestamp

/**
 * Queues the requests of this router's callers and gets slots for them from the shards' allotters.
 *
 * A queued request ends with exactly one of [NodeEffect.SlotGranted] and [NodeEffect.SlotRefused], unless it is
 * withdrawn. Calls may come from several workers; they take the requester's tables in rank order.
 *
 * ```
 * val requester = RequesterController(context)
 * when (val outcome = requester.submit(request, now)) {
 *     is Outcome.Success -> execute(outcome.value)
 *     is Outcome.Refused -> answer(outcome.failure)
 * }
 * ```
 */
public class RequesterController(
    private val context: SharingContext,
    private val settings: SharingSettings = SharingSettings(),
    private val log: SharingLog = { _, _ -> },
) {
    private val topology = Topology()
    private val state = RequesterState(context, settings, topology)

    /** Number of requests that wait for a slot. */
    public val waitingCount: Int get() = state.locked { state.queue.table.size }

    /** Number of grants in use. */
    public val runningCount: Int get() = state.locked { state.grants.table.size }

    /** Queues [request]; refused when it can never run under the present document or a queue is full. */
    public fun submit(request: QueuedRequest, now: Timestamp): Outcome<List<NodeEffect>> {
        val accepted = context.document() ?: return refused(ErrorKind.NOT_READY)
        return turn(accepted, now) {
            val failure = state.enqueue(request, this)
            if (failure == null) Outcome.Success(state.finish(this)) else Outcome.Refused(failure)
        }
    }

    /** Ends the wait of [number], or its grant when it has one, without another effect than messages. */
    public fun withdraw(number: RequestNumber, now: Timestamp): List<NodeEffect> =
        handle(now) { state.withdraw(number, this) }

    /** Records that the granted request [number] has cost [cost] so far, in the pool's cost unit. */
    public fun progressed(number: RequestNumber, cost: Double, now: Timestamp): List<NodeEffect> = handle(now) {
        state.grants[number]?.let { it.cost = maxOf(it.cost, cost) }
    }

    /** Ends the grant of [number] with its final [cost] and frees its slot. */
    public fun settled(
        number: RequestNumber,
        cost: Double,
        hasServerFailed: Boolean,
        now: Timestamp,
    ): List<NodeEffect> = handle(now) { state.settle(number, cost, hasServerFailed, this) }

    /** Handles [message] of an allotter; messages of other kinds are ignored. */
    public fun messageReceived(from: RouterId, message: PeerMessage, now: Timestamp): List<NodeEffect> = handle(now) {
        when (message) {
            is Grant -> state.granted(from, message, this)
            is RegisterRequest -> state.registrationRequested(from, message, this)
            else -> Unit
        }
    }

    /** Registers again with the allotments of [router], since messages to it may be lost. */
    public fun peerConnected(router: RouterId, now: Timestamp): List<NodeEffect> = handle(now) {
        state.links.reconnected(router, now)
        state.releaseUnregistered(this)
    }

    /** Looks for another allotter when [router] stays unreachable. */
    public fun peerDisconnected(router: RouterId, now: Timestamp): List<NodeEffect> = handle(now) {
        state.links.lost(router, now)
        state.releaseUnregistered(this)
    }

    /** Chooses the allotters again. */
    public fun membersChanged(now: Timestamp): List<NodeEffect> = handle(now) { state.membersChanged(this) }

    /** Refuses queued requests that the document in force no longer allows anywhere. */
    public fun documentChanged(now: Timestamp): List<NodeEffect> = handle(now) { state.documentChanged(this) }

    /** Handles deadlines; called every 20 ms. */
    public fun tick(now: Timestamp): List<NodeEffect> = handle(now) { state.tick(this) }

    private fun handle(now: Timestamp, block: RequesterTurn.() -> Unit): List<NodeEffect> {
        val accepted = context.document() ?: return emptyList()
        return turn(accepted, now) {
            block()
            state.finish(this)
        }
    }

    /** Reads documents and members before the requester's tables are locked, since those tables rank lower. */
    private fun <R> turn(accepted: AcceptedDocument, now: Timestamp, block: RequesterTurn.() -> R): R {
        val members = context.members().associateBy { it.router }
        val mayGiveOutWork = context.mayGiveOutWork(now)
        return state.locked {
            RequesterTurn(now, accepted.document, topology.shardMap(accepted), members, mayGiveOutWork, log).block()
        }
    }
}
