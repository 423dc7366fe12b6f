package azuredale.measure

import azuredale.configuration.Requirement
import azuredale.identity.RequestNumber
import azuredale.node.NodeEvent
import azuredale.outcome.ErrorKind
import azuredale.outcome.Execution
import azuredale.outcome.Failure
import azuredale.routing.CallerRequest
import azuredale.routing.RequestIdentity
import azuredale.routing.RequestResult

/**
 * Simulated callers that send the load, retry failed requests and check the results against the invariants.
 *
 * A caller whose router does not answer uses the next one. Idempotent requests are retried after any server error.
 * Other requests are always retried with the same key, so that the routers can recognise them.
 */
internal class FakeCallers(private val fleet: Fleet) {
    private val queue = fleet.queue

    /** Number of answers by error kind; the key null counts complete answers. */
    val results: HashMap<ErrorKind?, Int> = HashMap()

    /** Whether every request with a key is sent a second time to another router. */
    var areKeysRepeated: Boolean = false

    fun schedule(work: List<WorkItem>): Unit = work.forEach { item ->
        queue.at(item.arrival) {
            submit(item, item.router, submission = 1)
            if (areKeysRepeated && item.key != null) {
                queue.after(REPEAT_DELAY) { submit(item, item.router + 1, submission = MAXIMUM_SUBMISSIONS) }
            }
        }
    }

    fun setWaiting(call: Call, isWaiting: Boolean) {
        if (call.isWaiting == isWaiting) return
        call.isWaiting = isWaiting
        fleet.recorder.waitingChanged(call.work, call.router, if (isWaiting) 1 else -1)
    }

    /** Handles the loss of the router of [call]; the caller notices after [detection] and retries. */
    fun lost(call: Call, detection: Long) {
        setWaiting(call, false)
        queue.after(detection) { submitAgain(call) }
    }

    fun finished(host: RouterHost, number: RequestNumber, result: RequestResult) {
        val call =
            host.calls.remove(number)
                ?: return fleet.invariants.report(3, "${host.name} finished unknown request $number with $result")
        setWaiting(call, false)
        call.attempt?.let { fleet.invariants.report(3, "${host.name} finished $number during an attempt: $result") }
        when (result) {
            is RequestResult.Completed -> completed(host, call)
            is RequestResult.Duplicate -> repeated(host, call, result)
            is RequestResult.Failed -> failed(host, call, result.failure)
        }
    }

    private fun submit(item: WorkItem, router: Int, submission: Int) {
        val hosts = fleet.hosts
        val host = hosts.indices.map { hosts[(router + it) % hosts.size] }.firstOrNull { it.isUp } ?: return
        host.acceptLater(fleet.profile.clientDelay) {
            val number = host.nextRequestNumber()
            val call = Call(item, host.index, number, submission)
            host.calls[number] = call
            setWaiting(call, true)
            NodeEvent.RequestReceived(requestOf(item, host, number))
        }
    }

    private fun requestOf(item: WorkItem, host: RouterHost, number: RequestNumber) = CallerRequest(
        number = number,
        team = item.team,
        requirement = Requirement(item.pool),
        deadline = host.now.plusSeconds(DEADLINE_SECONDS),
        identity = item.key?.let { RequestIdentity.Key(it) } ?: RequestIdentity.Idempotent,
        hint = item.hint,
        prefix = item.prefix,
        isResumable = item.key == null && item.units > 1,
    )

    private fun completed(host: RouterHost, call: Call) {
        results.merge(null, 1, Int::plus)
        fleet.recorder.completed(call.work)
        if (call.delivered != call.work.units) {
            val text = "${call.number} got ${call.delivered} of ${call.work.units} units"
            fleet.invariants.report(3, "${host.name} reported an answer as complete, but $text")
        }
        checkExecutions(call)
    }

    private fun repeated(host: RouterHost, call: Call, result: RequestResult.Duplicate) {
        results.merge(null, 1, Int::plus)
        val expected = call.work.key?.let(EffectExecutor::answerFor)
        if (expected == null || !expected.body.contentEquals(result.response.body)) {
            fleet.invariants.report(3, "${host.name} returned the answer of another request for ${call.number}")
        }
        checkExecutions(call)
    }

    private fun failed(host: RouterHost, call: Call, failure: Failure) {
        val kind = failure.kind
        results.merge(kind, 1, Int::plus)
        if (failure.execution == Execution.NOT_RUN && call.hasReachedServer) {
            fleet.invariants.report(
                4,
                "${host.name} reported $kind, not run, for ${call.number}, which reached a server",
            )
        }
        if (host.isDraining && call.hasReachedServer && kind == ErrorKind.DRAINING) {
            fleet.invariants.report(7, "${host.name} failed running request ${call.number} because of its drain")
        }
        checkExecutions(call)
        if (kind.isRetryable || (call.work.key == null && kind.status >= SERVER_ERROR)) {
            queue.after(RETRY_DELAY) { submitAgain(call) }
        }
    }

    private fun checkExecutions(call: Call) {
        val key = call.work.key ?: return
        val count = fleet.recorder.executionsOf(key)
        if (count > 1) fleet.invariants.report(5, "request $key ran $count times")
    }

    private fun submitAgain(call: Call) {
        if (call.submission >= MAXIMUM_SUBMISSIONS) return
        submit(call.work, call.router + 1, call.submission + 1)
    }

    private companion object {
        const val DEADLINE_SECONDS = 300L
        const val SERVER_ERROR = 500
        const val MAXIMUM_SUBMISSIONS = 20
        const val RETRY_DELAY = 200 * EventQueue.MILLISECOND
        const val REPEAT_DELAY = 100 * EventQueue.MILLISECOND
    }
}
