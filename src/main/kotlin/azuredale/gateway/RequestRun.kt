package azuredale.gateway

import azuredale.admission.AdmissionRequest
import azuredale.catalog.RouteKind
import azuredale.directory.BackendEntry
import azuredale.engine.SelectionRequest
import azuredale.engine.ServerSelection
import azuredale.identity.ServerId
import azuredale.outcome.ErrorKind
import azuredale.outcome.Execution
import azuredale.outcome.Failure
import azuredale.outcome.Outcome
import azuredale.time.Timestamp
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.channels.Channel

/** Input to a request's coroutine. */
private sealed interface Signal {
    class FromBackend(
        val attempt: Int,
        val event: BackendEvent,
    ) : Signal

    data object CallerGone : Signal

    data object DeadlinePassed : Signal

    data object CallerWritable : Signal
}

/** How one attempt ended. */
private sealed interface AttemptEnd {
    /** The response was forwarded, or the caller has disconnected. */
    data object Done : AttemptEnd

    /** The server has not executed the request and never will. */
    class NotRun(
        val kind: ErrorKind,
        val detail: String,
        val wasSent: Boolean,
    ) : AttemptEnd

    /** The server may have executed the request; [answer] is its own error response, if there is one. */
    class Failed(
        val kind: ErrorKind,
        val detail: String,
        val answer: WholeAnswer? = null,
    ) : AttemptEnd
}

/** A complete response of a server, buffered until the router has decided to forward it. */
private class WholeAnswer(
    val head: ResponseHead,
    val body: Buffer,
)

/**
 * Handles one request of a caller: admission, server selection, attempts, and the response.
 *
 * A non-idempotent request or a stream that cannot be resumed is sent to a server at most once, unless that server
 * stated that it did not execute the request. A response reports "not run" only if no server began the request.
 */
internal class RequestRun(
    private val caller: Caller,
    private val gateway: GatewayContext,
) {
    private val clock = gateway.clock
    private val head = caller.head
    private val arrivedAt = clock()
    private val signals = Channel<Signal>(Channel.UNLIMITED)
    private val excluded = HashSet<ServerId>()
    private var deadline = arrivedAt
    private var onTimeUntil = arrivedAt
    private var attempt = 0
    private var serversSent = 0
    private var lastEventNumber: Long? = head.lastEventNumber
    private var hasBegun = false
    private var isCallerGone = false
    private var firstEventAt: Timestamp? = null
    private var lastEventAt: Timestamp? = null
    private var longestPause = 0L
    private var sentAt: Timestamp? = null
    private var lastSelection: ServerSelection.Selected? = null
    private lateinit var admitted: AdmittedRequest

    /** Handles the request to completion. */
    suspend fun run() {
        val admission = gateway.admission.admit(head, arrivedAt)
        if (admission is Outcome.Refused) {
            refuse(admission.failure)
            return
        }
        admitted = (admission as Outcome.Success).value
        // A retry after a refusal has already used part of its latency target.
        val used = gateway.prompts.elapsedBefore(admitted.route.name, head.remainingMilliseconds)
        onTimeUntil = arrivedAt.plusMilliseconds(admitted.route.targetMilliseconds - used)
        val limit = minOf(head.remainingMilliseconds ?: Long.MAX_VALUE, admitted.route.timeoutMilliseconds)
        deadline = arrivedAt.plusMilliseconds(limit)
        when (val body = caller.readBody(admitted.bodyLimitBytes)) {
            is BodyResult.TooLarge -> refuse(Failure(ErrorKind.REQUEST_TOO_LARGE))
            is BodyResult.Incomplete -> ended("caller disconnected before its body was complete")
            is BodyResult.Complete -> serve(body.bytes)
        }
    }

    private suspend fun serve(body: Buffer) {
        gateway.retryBudget.recordRequest(admitted.pool, clock())
        caller.onDisconnect { signals.trySend(Signal.CallerGone) }
        val timer = gateway.timer(deadline) { signals.trySend(Signal.DeadlinePassed) }
        try {
            attempts(body)
        } finally {
            timer.cancel()
        }
    }

    private suspend fun attempts(body: Buffer) {
        var notRun: Failure? = null
        var connectFailures = 0
        while (true) {
            val now = clock()
            val selection = gateway.selector.select(selectionRequest(), now)
            if (selection !is ServerSelection.Selected) {
                giveUp(notRun ?: unavailable(selection, now))
                return
            }
            val late = if (attempt == 0) refusedAsLate(selection, now) else null
            if (late != null) {
                giveUp(late)
                return
            }
            when (val end = attemptAt(selection, body)) {
                is AttemptEnd.Done -> return
                is AttemptEnd.NotRun -> {
                    excluded += selection.server.id
                    notRun = Failure(end.kind, end.detail, clock().plusMilliseconds(RETRY_MILLISECONDS))
                    if (!end.wasSent && ++connectFailures <= MAXIMUM_CONNECT_FAILURES) continue
                    if (!end.wasSent || !mayRepeat()) {
                        giveUp(notRun)
                        return
                    }
                }
                is AttemptEnd.Failed -> {
                    excluded += selection.server.id
                    if (!admitted.route.isRepeatable || !mayRepeat()) {
                        fail(end)
                        return
                    }
                    notRun = null
                }
            }
        }
    }

    private fun selectionRequest() = SelectionRequest(
        pool = admitted.pool,
        team = admitted.team,
        prompt = head.prompt,
        origin = gateway.settings.failureDomain,
        onTimeUntil = onTimeUntil,
        deadline = deadline,
        excluded = excluded,
    )

    private fun refusedAsLate(selection: ServerSelection.Selected, now: Timestamp): Failure? =
        head.prompt?.let { prompt ->
            val request = AdmissionRequest(admitted.team, admitted.route.targetMilliseconds, onTimeUntil, deadline)
            gateway.prompts.decide(prompt, request, selection.predictedMilliseconds, now)
        }

    private fun mayRepeat(): Boolean {
        val now = clock()
        return serversSent < admitted.route.maximumServers &&
            now < deadline &&
            gateway.retryBudget.tryAcquire(admitted.pool, now)
    }

    private fun unavailable(selection: ServerSelection, now: Timestamp): Failure {
        val detail = (selection as? ServerSelection.Unavailable)?.detail.orEmpty()
        return Failure(ErrorKind.NO_ELIGIBLE_SERVER, detail, now.plusMilliseconds(RETRY_MILLISECONDS))
    }

    private suspend fun attemptAt(selection: ServerSelection.Selected, body: Buffer): AttemptEnd {
        val number = ++attempt
        lastSelection = selection
        val recorder = gateway.recorders.begin(selection, head.prompt, clock())
        val request =
            BackendRequest(
                head = head,
                body = body,
                team = admitted.team?.name,
                remainingMilliseconds = (deadline.microsecondsSince(clock()) / MICROSECONDS).coerceAtLeast(1),
                lastEventNumber = lastEventNumber,
            )
        val requiresRecentConnection = !admitted.route.isRepeatable
        val sent =
            gateway.backends.send(selection.server, request, requiresRecentConnection) {
                signals.trySend(Signal.FromBackend(number, it))
            }
        val exchange = AttemptReader(selection.server, recorder, sent)
        val end =
            try {
                exchange.read(number)
            } catch (failure: Throwable) {
                sent.cancel()
                throw failure
            } finally {
                recorder.release()
            }
        if (end !is AttemptEnd.Done) attemptFailed(end, selection.server)
        return end
    }

    private fun attemptFailed(end: AttemptEnd, server: BackendEntry) {
        val (kind, detail) =
            when (end) {
                is AttemptEnd.NotRun -> end.kind to end.detail
                is AttemptEnd.Failed -> end.kind to end.detail
                is AttemptEnd.Done -> return
            }
        gateway.log.write(
            GatewayLogEvent.ATTEMPT_FAILED,
            "request" to head.id,
            "server" to server.id,
            "attempt" to attempt,
            "kind" to kind,
            "detail" to detail,
            "age" to ageMilliseconds(),
        )
    }

    /** Processes the events of one attempt and forwards the response. */
    private inner class AttemptReader(
        private val server: BackendEntry,
        private val recorder: AttemptRecorder,
        private val sent: BackendAttempt,
    ) {
        private var response: ResponseHead? = null
        private val body = Buffer.buffer()
        private val splitter = ServerSentEventSplitter()
        private var wasSent = false
        private var isWaitingForCaller = false

        suspend fun read(number: Int): AttemptEnd {
            for (signal in signals) {
                val end =
                    when (signal) {
                        is Signal.FromBackend -> if (signal.attempt == number) received(signal.event) else null
                        is Signal.CallerGone -> callerGone()
                        is Signal.DeadlinePassed -> deadlinePassed()
                        is Signal.CallerWritable -> resume()
                    }
                if (end != null) return end
            }
            error("signal channel of a request was closed")
        }

        private fun callerGone(): AttemptEnd {
            isCallerGone = true
            sent.cancel()
            ended("caller disconnected")
            return AttemptEnd.Done
        }

        private fun deadlinePassed(): AttemptEnd {
            sent.cancel()
            val kind = if (wasSent) ErrorKind.DEADLINE_DURING_RUN else ErrorKind.DEADLINE_BEFORE_START
            if (wasSent) recorder.recordTimeout(clock())
            return if (wasSent) {
                AttemptEnd.Failed(kind, "")
            } else {
                AttemptEnd.NotRun(kind, "deadline passed before a connection was open", wasSent = false)
            }
        }

        private fun resume(): AttemptEnd? {
            isWaitingForCaller = false
            sent.pause(false)
            return null
        }

        private fun received(event: BackendEvent): AttemptEnd? = when (event) {
            is BackendEvent.NotSent -> {
                recorder.recordFailure(clock())
                AttemptEnd.NotRun(ErrorKind.CONNECT_FAILED, event.detail, wasSent = false)
            }
            is BackendEvent.Sent -> {
                wasSent = true
                sentAt = clock().also(recorder::recordSent)
                serversSent++
                null
            }
            is BackendEvent.Head -> headReceived(event.head)
            is BackendEvent.Data -> dataReceived(event.bytes)
            is BackendEvent.Complete -> complete()
            is BackendEvent.Failed -> broken(event.detail)
        }

        private fun headReceived(head: ResponseHead): AttemptEnd? {
            response = head
            return when {
                head.isNotExecuted -> {
                    sent.cancel()
                    recorder.recordRefusal(clock(), head.status)
                    AttemptEnd.NotRun(ErrorKind.SERVER_REFUSED, "status ${head.status}", wasSent = true)
                }
                head.isSuccess && !head.isStamped -> {
                    sent.cancel()
                    recorder.recordFailure(clock())
                    AttemptEnd.Failed(ErrorKind.WRONG_ANSWER, "successful response without the server's stamp")
                }
                else -> null
            }
        }

        private fun dataReceived(bytes: Buffer): AttemptEnd? {
            if (!isStream()) {
                body.appendBuffer(bytes)
                return null
            }
            val events = splitter.append(bytes)
            if (events.isEmpty()) return null
            return pass(events)
        }

        private fun isStream(): Boolean = admitted.route.kind == RouteKind.STREAMING && response?.isSuccess == true

        private fun pass(events: List<StreamEvent>): AttemptEnd? {
            val now = clock()
            recorder.recordEvent(now)
            if (firstEventAt == null) firstEventAt = now
            longestPause = maxOf(longestPause, now.microsecondsSince(lastEventAt ?: now))
            lastEventAt = now
            begin()
            for (event in events) {
                val number = event.number
                val before = lastEventNumber
                if (number != null && before != null && number <= before) continue
                if (number != null && before != null && number > before + 1) {
                    sent.cancel()
                    return AttemptEnd.Failed(ErrorKind.STREAM_BROKEN, "event $number follows event $before")
                }
                if (number != null) lastEventNumber = number
                passBytes(event.bytes)
            }
            return null
        }

        private fun passBytes(bytes: Buffer) {
            if (caller.write(bytes) || isWaitingForCaller) return
            isWaitingForCaller = true
            sent.pause(true)
            caller.onWritable { signals.trySend(Signal.CallerWritable) }
        }

        private fun begin() {
            if (hasBegun) return
            hasBegun = true
            val head = checkNotNull(response)
            caller.beginStream(head.status, head.headers)
        }

        private fun complete(): AttemptEnd {
            val head = response ?: return AttemptEnd.Failed(ErrorKind.WRONG_ANSWER, "response without a head")
            if (isStream()) {
                begin()
                if (splitter.pendingBytes > 0) caller.write(splitter.takeRemainder())
                caller.end()
                recorder.recordSuccess(clock())
                ended("streamed")
                return AttemptEnd.Done
            }
            val answer = WholeAnswer(head, body)
            if (head.status >= SERVER_ERROR) {
                return AttemptEnd.Failed(ErrorKind.BACKEND_FAILED, "status ${head.status}", answer)
            }
            recorder.recordSuccess(clock())
            passAnswer(answer)
            return AttemptEnd.Done
        }

        private fun broken(detail: String): AttemptEnd {
            recorder.recordFailure(clock())
            val kind = if (hasBegun) ErrorKind.STREAM_BROKEN else ErrorKind.BACKEND_FAILED
            return AttemptEnd.Failed(kind, "$detail at ${server.address}")
        }
    }

    private fun passAnswer(answer: WholeAnswer) {
        caller.respond(answer.head.status, answer.head.headers, answer.body)
        ended("answered ${answer.head.status}")
    }

    private fun giveUp(failure: Failure) {
        if (hasBegun) {
            caller.abort()
            ended("stream aborted")
        } else {
            refuse(failure)
        }
    }

    private fun fail(end: AttemptEnd.Failed) {
        val answer = end.answer
        when {
            hasBegun -> {
                caller.abort()
                ended("stream aborted: ${end.detail}")
            }
            answer != null -> passAnswer(answer)
            else -> refuse(Failure(end.kind, end.detail, execution = Execution.UNKNOWN))
        }
    }

    private fun refuse(failure: Failure) {
        gateway.log.write(
            GatewayLogEvent.REQUEST_REFUSED,
            "request" to head.id,
            "kind" to failure.kind,
            "execution" to failure.execution,
            "detail" to failure.detail,
            "age" to ageMilliseconds(),
        )
        gateway.metrics.ended(failure.kind, arrivedAt, firstEventAt, clock())
        caller.respond(
            failure.kind.status,
            gateway.failureHeaders.headers(failure, clock()),
            Buffer.buffer(failure.kind.text),
        )
    }

    private fun ended(result: String) {
        gateway.metrics.ended(null, arrivedAt, firstEventAt, clock())
        gateway.log.write(
            GatewayLogEvent.REQUEST_ENDED,
            "request" to head.id,
            "result" to result,
            "attempts" to attempt,
            "server" to lastSelection?.server?.id,
            "uncached" to lastSelection?.uncachedTokens,
            "waiting" to lastSelection?.load?.waitingTokens,
            "running" to lastSelection?.load?.running,
            "predicted" to lastSelection?.predictedMilliseconds?.toLong(),
            "sent" to sentAt?.let { it.microsecondsSince(arrivedAt) / MICROSECONDS },
            "first" to firstEventAt?.let { it.microsecondsSince(arrivedAt) / MICROSECONDS },
            "pause" to longestPause / MICROSECONDS,
            "route" to admitted.route.name,
            "team" to admitted.team,
            "late" to (firstEventAt ?: clock()).microsecondsSince(onTimeUntil) / MICROSECONDS,
            "left" to head.remainingMilliseconds,
            "age" to ageMilliseconds(),
        )
    }

    private fun ageMilliseconds() = clock().microsecondsSince(arrivedAt) / MICROSECONDS

    private companion object {
        const val MICROSECONDS = Timestamp.MICROSECONDS_PER_MILLISECOND
        const val SERVER_ERROR = 500

        /** Each unreachable server costs a connect time-out, so more attempts would use up the caller's time. */
        const val MAXIMUM_CONNECT_FAILURES = 3

        /** Long enough for a router or server to recover from a brief disruption. */
        const val RETRY_MILLISECONDS = 200L
    }
}
