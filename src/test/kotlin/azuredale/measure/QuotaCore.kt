package azuredale.measure

import azuredale.configuration.AcceptedDocument
import azuredale.configuration.BackendServer
import azuredale.configuration.RouterSettings
import azuredale.identity.AttemptNumber
import azuredale.identity.RequestNumber
import azuredale.node.ClaimResult
import azuredale.node.DecisionCore
import azuredale.node.NodeEffect
import azuredale.node.NodeEvent
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.routing.AttemptResult
import azuredale.routing.CallerRequest
import azuredale.routing.RequestIdentity
import azuredale.routing.RequestResult
import azuredale.time.Timestamp

/** A fault that a [QuotaCore] can have, to show that the harness detects it. */
internal enum class Misbehaviour { NONE, IGNORES_KEYS, BROKEN_AS_COMPLETE, BROKEN_AS_NOT_RUN, KEEPS_OLD_DOCUMENT }

/** Minimal decision code without peer messages: each router has one slot per server and a FIFO queue. */
internal class QuotaCore(
    private val settings: RouterSettings,
    private val misbehaviour: Misbehaviour = Misbehaviour.NONE,
) : DecisionCore {
    private val queue = ArrayDeque<CallerRequest>()
    private val claiming = HashMap<RequestNumber, CallerRequest>()
    private val running = HashMap<RequestNumber, Pair<CallerRequest, BackendServer>>()
    private val effects = ArrayList<NodeEffect>()
    private var document: AcceptedDocument? = null
    private var attempt = 1

    override fun handle(event: NodeEvent, now: Timestamp): List<NodeEffect> {
        effects.clear()
        when (event) {
            is NodeEvent.Tick ->
                if (document == null &&
                    now.toMilliseconds() % 10 == 0L
                ) {
                    effects += NodeEffect.ReadDocument
                }
            is NodeEvent.DocumentRead -> read(event)
            is NodeEvent.RequestReceived -> received(event.request)
            is NodeEvent.KeyClaimed -> claimed(event)
            is NodeEvent.AttemptEnded -> ended(event)
            else -> Unit
        }
        dispatch()
        if (document == null) effects += NodeEffect.ReadDocument
        return effects.toList()
    }

    private fun read(event: NodeEvent.DocumentRead) {
        if (document == null) effects += NodeEffect.WatchDocument(true)
        if (document == null || misbehaviour != Misbehaviour.KEEPS_OLD_DOCUMENT) document = event.document
    }

    private fun received(request: CallerRequest) {
        val key = request.identity as? RequestIdentity.Key
        if (key == null || misbehaviour == Misbehaviour.IGNORES_KEYS) {
            queue.addLast(request)
        } else {
            claiming[request.number] = request
            effects += NodeEffect.ClaimKey(request.number, request.team, key.text, request.deadline)
        }
    }

    private fun claimed(event: NodeEvent.KeyClaimed) {
        val request = claiming.remove(event.request) ?: return
        when (event.result) {
            ClaimResult.CLAIMED -> queue.addLast(request)
            ClaimResult.HELD -> fail(event.request, ErrorKind.CLAIMED_ELSEWHERE)
            else -> fail(event.request, ErrorKind.CLAIM_UNAVAILABLE)
        }
    }

    private fun ended(event: NodeEvent.AttemptEnded) {
        val (request, _) = running.remove(event.request) ?: return
        when (val result = event.result) {
            is AttemptResult.Completed -> effects += NodeEffect.FinishRequest(request.number, RequestResult.Completed)
            is AttemptResult.NotConnected -> queue.addLast(request)
            else ->
                when (misbehaviour) {
                    Misbehaviour.BROKEN_AS_COMPLETE ->
                        effects += NodeEffect.FinishRequest(request.number, RequestResult.Completed)
                    Misbehaviour.BROKEN_AS_NOT_RUN -> fail(request.number, ErrorKind.OVERLOADED)
                    else ->
                        if (result is AttemptResult.Broken) {
                            fail(
                                request.number,
                                ErrorKind.BACKEND_FAILED,
                            )
                        } else {
                            queue.addLast(request)
                        }
                }
        }
    }

    private fun fail(number: RequestNumber, kind: ErrorKind) {
        effects += NodeEffect.FinishRequest(number, RequestResult.Failed(Failure(kind)))
    }

    private fun dispatch() {
        val current = document?.document ?: return
        val used = running.values.groupingBy { it.second.id }.eachCount()
        val free =
            current.servers.values
                .filter { (used[it.id] ?: 0) < SLOTS }
                .toMutableList()
        val waiting = queue.iterator()
        while (waiting.hasNext()) {
            val request = waiting.next()
            val server = free.firstOrNull { current.allows(it.id, request.requirement) } ?: continue
            waiting.remove()
            free.remove(server)
            running[request.number] = request to server
            effects += NodeEffect.StartAttempt(request.number, AttemptNumber(attempt++), server.id, server.address)
        }
    }

    override fun toString(): String = "quota core of ${settings.router}"

    private companion object {
        const val SLOTS = 1
    }
}
