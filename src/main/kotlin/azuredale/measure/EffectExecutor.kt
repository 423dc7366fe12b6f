package azuredale.measure

import azuredale.identity.AttemptNumber
import azuredale.identity.RequestNumber
import azuredale.node.NodeEffect
import azuredale.node.NodeEvent
import azuredale.routing.AttemptResult
import azuredale.routing.StoredResponse

/** Executes the effects of the decision code on the fakes of [fleet], as the edges of the daemon do on real systems. */
internal class EffectExecutor(private val fleet: Fleet) {
    private val queue get() = fleet.queue

    fun perform(host: RouterHost, effect: NodeEffect) {
        when (effect) {
            is NodeEffect.SendMessage -> fleet.send(host, effect)
            is NodeEffect.SendDatagram -> sendDatagram(host, effect)
            is NodeEffect.StartAttempt -> startAttempt(host, effect)
            is NodeEffect.CancelAttempt -> cancelAttempt(host, effect.request, effect.attempt)
            is NodeEffect.FinishRequest -> fleet.callers.finished(host, effect.request, effect.result)
            is NodeEffect.ClaimKey -> fleet.platform.claim(client(host), effect.request, "${effect.team}/${effect.key}")
            is NodeEffect.ReadDocument -> fleet.platform.read(client(host))
            is NodeEffect.WatchDocument -> fleet.platform.watch(client(host), effect.isWatching)
            is NodeEffect.SlotGranted, is NodeEffect.SlotRefused ->
                fleet.invariants.report(0, "${host.name} emitted the internal effect $effect")
            is NodeEffect.Drained -> drained(host)
        }
    }

    private fun client(host: RouterHost): PlatformClient {
        val generation = host.generation
        return PlatformClient(
            name = "${host.name}/$generation",
            isReachable = {
                host.generation == generation &&
                    fleet.network.isReachable(
                        host.name,
                        FakeNetwork.PLATFORM,
                    )
            },
            deliver = { if (host.generation == generation) host.accept(it) },
        )
    }

    private fun sendDatagram(host: RouterHost, effect: NodeEffect.SendDatagram) {
        val announced = effect.message.revision
        if (announced < host.revision) {
            fleet.invariants.report(8, "${host.name} announced revision $announced after ${host.revision}")
        }
        host.revision = maxOf(host.revision, announced)
        val target = fleet.hostAt(effect.to) ?: return
        fleet.network.sendDatagram(host.settings.router, target.settings.router, effect.message)
    }

    private fun startAttempt(host: RouterHost, effect: NodeEffect.StartAttempt) {
        val call = host.calls[effect.request]
        val server = fleet.servers[effect.server]
        if (call == null || server == null) {
            return fleet.invariants.report(
                0,
                "${host.name} started an attempt for an unknown request or server: $effect",
            )
        }
        if (call.attempt !=
            null
        ) {
            fleet.invariants.report(3, "${host.name} runs two attempts of ${effect.request} at once")
        }
        val attempt = Attempt(call, effect.attempt, server, effect.resumeAt)
        call.attempt = attempt
        host.attempts[effect.request to effect.attempt] = attempt
        fleet.callers.setWaiting(call, false)
        val name = server.entry.id.name
        val isUnreachable = !fleet.network.isReachable(host.name, name)
        when {
            isUnreachable -> end(host, attempt, CONNECT_TIMEOUT) { AttemptResult.NotConnected("no answer from $name") }
            server.isDead -> end(host, attempt, delay(host, server)) { AttemptResult.NotConnected("refused by $name") }
            else -> queue.after(delay(host, server)) { if (!attempt.isOver) submit(host, attempt) }
        }
    }

    private fun submit(host: RouterHost, attempt: Attempt) {
        val call = attempt.call
        call.hasReachedServer = true
        val job =
            Job(
                work = call.work,
                router = host.index,
                remaining = (call.work.units - attempt.resumeAt.toInt()).coerceAtLeast(1),
                onUnits = { units -> progress(host, attempt, units) },
                onEnd = { end -> end(host, attempt, delay(host, attempt.server)) { resultOf(attempt, end) } },
            )
        attempt.job = job
        attempt.server.submit(job)
    }

    private fun progress(host: RouterHost, attempt: Attempt, units: Int) {
        val server = attempt.server.entry.id.name
        if (!fleet.network.isReachable(host.name, server)) {
            attempt.job?.let { attempt.server.cancel(it) }
            return end(host, attempt, FakeNetwork.DETECTION_DELAY) { resultOf(attempt, JobEnd.BROKEN) }
        }
        host.acceptLater(delay(host, attempt.server)) { arrived(attempt, units) }
    }

    private fun arrived(attempt: Attempt, units: Int): NodeEvent? {
        if (attempt.isOver) return null
        val call = attempt.call
        attempt.cost += units
        call.delivered = maxOf(call.delivered, attempt.resumeAt.toInt() + attempt.cost)
        fleet.recorder.unitsArrived(call.work)
        return NodeEvent.AttemptProgressed(call.number, attempt.number, attempt.cost.toDouble())
    }

    private fun resultOf(attempt: Attempt, end: JobEnd): AttemptResult {
        val cost = attempt.cost.toDouble()
        return when (end) {
            JobEnd.COMPLETED ->
                AttemptResult.Completed(
                    cost,
                    attempt.call.work.key
                        ?.let(::answerFor),
                )
            JobEnd.BROKEN -> AttemptResult.Broken(cost, attempt.call.delivered.toLong(), "connection reset")
            JobEnd.MISMATCHED -> AttemptResult.WrongAnswer(cost, "answer belongs to another request")
        }
    }

    private fun end(host: RouterHost, attempt: Attempt, delay: Long, result: () -> AttemptResult) {
        val key = attempt.call.number to attempt.number
        host.acceptLater(delay) {
            if (attempt.isOver) return@acceptLater null
            attempt.isOver = true
            host.attempts.remove(key)
            attempt.call.attempt = null
            if (attempt.call.number in host.calls) fleet.callers.setWaiting(attempt.call, true)
            NodeEvent.AttemptEnded(attempt.call.number, attempt.number, result())
        }
    }

    private fun cancelAttempt(host: RouterHost, request: RequestNumber, number: AttemptNumber) {
        val attempt = host.attempts.remove(request to number) ?: return
        if (host.isDraining && attempt.job != null) {
            fleet.invariants.report(7, "${host.name} cancelled running request $request while draining")
        }
        attempt.isOver = true
        attempt.call.attempt = null
        if (request in host.calls) fleet.callers.setWaiting(attempt.call, true)
        queue.after(delay(host, attempt.server)) { attempt.job?.let(attempt.server::cancel) }
    }

    private fun drained(host: RouterHost) {
        if (host.calls.isNotEmpty()) {
            fleet.invariants.report(7, "${host.name} finished draining with ${host.calls.size} requests open")
        }
        fleet.crash(host, delay(host, fleet.servers.values.first()))
    }

    private fun delay(host: RouterHost, server: FakeServer) = fleet.network.delay(host.name, server.entry.id.name)

    companion object {
        private const val CONNECT_TIMEOUT = 1_000 * EventQueue.MILLISECOND

        /** Returns the expected answer for [key], which is unique so that the answer of another request is detected. */
        fun answerFor(key: String): StoredResponse =
            StoredResponse(status = 200, contentType = "text/plain", body = "done $key".encodeToByteArray())
    }
}
