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
 * Queues the requests of this router's callers and obtains slots for them from the shards' allotters.
 *
 * Each queued request produces exactly one [NodeEffect.SlotGranted] or [NodeEffect.SlotRefused], unless it is
 * withdrawn. Methods may be called by several workers concurrently; each call locks the requester's tables in rank
 * order.
 *
 * ```
 * val requester = RequesterController(environment)
 * when (val outcome = requester.submit(request, now)) {
 *     is Outcome.Success -> execute(outcome.value)
 *     is Outcome.Refused -> answer(outcome.failure)
 * }
 * ```
 */
public class RequesterController(
    private val environment: SharingEnvironment,
    private val settings: SharingSettings = SharingSettings(),
    private val log: SharingLog = { _, _ -> },
) {
    private val topology = Topology()
    private val state = RequesterState(environment, settings, topology)

    /** Number of requests waiting for a slot. */
    public val waitingCount: Int get() = state.locked { state.queue.table.size }

    /** Number of grants in use. */
    public val runningCount: Int get() = state.locked { state.grants.table.size }

    /** Queues [request]; refuses it when the current document does not allow it or a queue is full. */
    public fun submit(request: QueuedRequest, now: Timestamp): Outcome<List<NodeEffect>> {
        val accepted = environment.document() ?: return refused(ErrorKind.NOT_READY)
        return withContext(accepted, now) {
            val failure = state.enqueue(request, this)
            if (failure == null) Outcome.Success(state.finish(this)) else Outcome.Refused(failure)
        }
    }

    /** Removes [number] from the queue, or settles its grant if it has one; the only effects are messages. */
    public fun withdraw(number: RequestNumber, now: Timestamp): List<NodeEffect> =
        handle(now) { state.withdraw(number, this) }

    /** Records the [cost] so far of the granted request [number], in the pool's cost unit. */
    public fun progressed(number: RequestNumber, cost: Double, now: Timestamp): List<NodeEffect> = handle(now) {
        state.grants[number]?.let { it.cost = maxOf(it.cost, cost) }
    }

    /** Ends the grant of [number] with its final [cost], which frees its slot. */
    public fun settled(
        number: RequestNumber,
        cost: Double,
        hasServerFailed: Boolean,
        now: Timestamp,
    ): List<NodeEffect> = handle(now) { state.settle(number, cost, hasServerFailed, this) }

    /** Handles a [message] from an allotter; messages of other kinds are ignored. */
    public fun messageReceived(from: RouterId, message: PeerMessage, now: Timestamp): List<NodeEffect> = handle(now) {
        when (message) {
            is Grant -> state.grantReceived(from, message, this)
            is RegisterRequest -> state.registrationRequested(from, message, this)
            else -> Unit
        }
    }

    /** Renews the registrations with [router], since messages may have been lost before the reconnect. */
    public fun peerConnected(router: RouterId, now: Timestamp): List<NodeEffect> = handle(now) {
        state.links.reconnected(router, now)
        state.cancelUnregisteredOffers(this)
    }

    /** Cancels the offers to [router]; a different allotter is chosen if it stays unreachable. */
    public fun peerDisconnected(router: RouterId, now: Timestamp): List<NodeEffect> = handle(now) {
        state.links.disconnected(router, now)
        state.cancelUnregisteredOffers(this)
    }

    /** Chooses allotters again for the new members. */
    public fun membersChanged(now: Timestamp): List<NodeEffect> = handle(now) { state.membersChanged(this) }

    /** Applies the current document; refuses queued requests that it no longer allows. */
    public fun documentChanged(now: Timestamp): List<NodeEffect> = handle(now) { state.documentChanged(this) }

    /** Processes expired timers; called every 20 ms. */
    public fun tick(now: Timestamp): List<NodeEffect> = handle(now) { state.tick(this) }

    private fun handle(now: Timestamp, block: RequesterContext.() -> Unit): List<NodeEffect> {
        val accepted = environment.document() ?: return emptyList()
        return withContext(accepted, now) {
            block()
            state.finish(this)
        }
    }

    /** Reads document and members before locking the requester's tables, because the former have lower lock ranks. */
    private fun <R> withContext(accepted: AcceptedDocument, now: Timestamp, block: RequesterContext.() -> R): R {
        val members = environment.members().associateBy { it.router }
        val mayGiveOutWork = environment.mayGiveOutWork(now)
        return state.locked {
            RequesterContext(now, accepted.document, topology.shardMap(accepted), members, mayGiveOutWork, log).block()
        }
    }
}
