package azuredale.gateway

import azuredale.catalog.RouteKind
import azuredale.directory.BackendEntry
import azuredale.outcome.ErrorKind
import azuredale.time.Timestamp
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.channels.Channel

/** What the attempts of one request share. */
internal class RequestExchange(
    val caller: Caller,
    val context: GatewayContext,
    val authorized: AuthorizedRequest,
    val progress: RequestProgress,
    val response: CallerResponse,
    val log: RequestLog,
    val promptGate: PromptGate,
    val signals: Channel<RequestSignal>,
) {
    private var hasRecordedOrigin = false

    /** Binds a resumable stream to the software version of [server], before its first event is forwarded. */
    fun bindToVersion(server: BackendEntry, now: Timestamp) {
        if (hasRecordedOrigin || !authorized.route.isResumable) return
        hasRecordedOrigin = true
        val version = progress.softwareVersion ?: server.softwareVersion
        progress.softwareVersion = version
        val beginning = caller.head.resumedRequest ?: caller.head.id
        context.admission.resumption.recordBegin(beginning, server.pool, version, now)
    }
}

/** Processes the events of one attempt and forwards the response. */
internal class AttemptReader(
    private val exchange: RequestExchange,
    private val number: Int,
    private val server: BackendEntry,
    private val recorder: AttemptRecorder,
    private val backendAttempt: BackendAttempt,
) {
    private val caller = exchange.caller
    private val context = exchange.context
    private val progress = exchange.progress
    private val clock = context.clock
    private var response: ResponseHead? = null
    private val body = Buffer.buffer()
    private val splitter = ServerSentEventSplitter()
    private var hasEvent = false
    private var repeatedBytes = 0
    private var wasSent = false
    private var isWaitingForCaller = false
    private val buffered = context.budgets.responseBuffers.Part(server.id) { evicted() }
    private val stalls =
        StallDetector(clock, context.timer) { exchange.signals.trySend(RequestSignal.ProgressDue) }

    /** Releases what the attempt holds besides its connection and a complete response. */
    fun release() {
        if (!exchange.response.isHeld(buffered)) buffered.release()
        stalls.cancel()
    }

    suspend fun read(): AttemptResult {
        for (signal in exchange.signals) {
            val end =
                when (signal) {
                    is RequestSignal.FromBackend -> if (signal.attempt == number) onEvent(signal.event) else null
                    is RequestSignal.CallerGone -> onCallerGone()
                    is RequestSignal.DeadlinePassed -> onDeadlinePassed()
                    is RequestSignal.CallerWritable -> resume()
                    is RequestSignal.ProgressDue -> checkProgress()
                    is RequestSignal.RouterStopped -> onRouterStopped()
                    is RequestSignal.BufferEvicted ->
                        if (signal.attempt ==
                            number
                        ) {
                            tooLong("buffered response")
                        } else {
                            null
                        }
                }
            if (end != null) return end
        }
        error("signal channel of a request was closed")
    }

    private fun onCallerGone(): AttemptResult {
        backendAttempt.cancel()
        exchange.log.ended("caller disconnected")
        return AttemptResult.Done
    }

    private fun onRouterStopped(): AttemptResult {
        backendAttempt.cancel()
        return if (wasSent) {
            AttemptResult.Failed(ErrorKind.ROUTER_STOPPED, "the grace period is over", isFinal = true)
        } else {
            AttemptResult.NotRun(ErrorKind.DRAINING, "no connection to a server yet", wasSent, isFinal = true)
        }
    }

    private fun onDeadlinePassed(): AttemptResult {
        backendAttempt.cancel()
        val kind = if (wasSent) ErrorKind.DEADLINE_DURING_RUN else ErrorKind.DEADLINE_BEFORE_START
        if (wasSent) recorder.recordTimeout(clock())
        return if (wasSent) {
            AttemptResult.Failed(kind, "")
        } else {
            AttemptResult.NotRun(kind, "no connection to the server yet", wasSent = false, isFinal = true)
        }
    }

    private fun resume(): AttemptResult? {
        isWaitingForCaller = false
        backendAttempt.pause(false)
        return null
    }

    private fun onEvent(event: BackendEvent): AttemptResult? = when (event) {
        is BackendEvent.NotSent -> {
            recorder.recordFailure(clock())
            AttemptResult.NotRun(ErrorKind.CONNECT_FAILED, event.detail, wasSent = false)
        }
        is BackendEvent.Withdrawn -> onWithdrawn(event.decision)
        is BackendEvent.Sent -> {
            wasSent = true
            progress.sentAt = clock().also(recorder::recordSent)
            progress.sentCount++
            null
        }
        is BackendEvent.Head -> onHead(event.head)
        is BackendEvent.Data -> onData(event.bytes)
        is BackendEvent.Complete -> onComplete()
        is BackendEvent.Failed -> connectionFailed(event.detail)
    }

    private fun onWithdrawn(decision: SendDecision): AttemptResult = when (decision) {
        is SendDecision.Refuse ->
            AttemptResult.NotRun(decision.failure.kind, decision.failure.detail, wasSent = false, isFinal = true)
        is SendDecision.ChooseAnother ->
            AttemptResult.NotRun(ErrorKind.NO_ELIGIBLE_SERVER, decision.detail, wasSent = false)
        is SendDecision.CallerGone -> onCallerGone()
        is SendDecision.Send -> error("a request that may be written was withdrawn")
    }

    private fun onHead(head: ResponseHead): AttemptResult? {
        response = head
        if (head.isStamped || head.isNotExecuted) recorder.recordLimit(head.requestsPerSecond, clock())
        return when {
            head.isNotExecuted -> {
                backendAttempt.cancel()
                recorder.recordRefusal(clock(), head.status)
                AttemptResult.NotRun(ErrorKind.SERVER_REFUSED, "status ${head.status}", wasSent = true)
            }
            head.isSuccess && !head.isStamped -> {
                backendAttempt.cancel()
                recorder.recordFailure(clock())
                AttemptResult.Failed(ErrorKind.WRONG_ANSWER, "success without the server's stamp")
            }
            else -> null
        }
    }

    private fun onData(bytes: Buffer): AttemptResult? {
        if (!isStream()) {
            body.appendBuffer(bytes)
            return if (buffered.update(body.length())) null else tooLong("response body")
        }
        val events = splitter.append(bytes)
        if (!buffered.update(splitter.pendingBytes)) return tooLong("event")
        if (events.isEmpty()) return null
        return forwardEvents(events)
    }

    private fun tooLong(what: String): AttemptResult {
        backendAttempt.cancel()
        return onFailed("$what exceeds the limit")
    }

    private fun checkProgress(): AttemptResult? {
        if (!stalls.isStalled(isWaitingForCaller)) return null
        backendAttempt.cancel()
        return onFailed("no event for ${StallDetector.MILLISECONDS} ms")
    }

    private fun isStream(): Boolean =
        exchange.authorized.route.kind == RouteKind.STREAMING && response?.isSuccess == true

    private fun forwardEvents(events: List<StreamEvent>): AttemptResult? {
        val now = clock()
        hasEvent = true
        val intake = context.admission.intake
        val count = events.count { it.hasContent }
        recorder.recordEvent(now, intake.unreadMicroseconds(now), count, intake.isLate(now))
        // Bytes without an event are no progress.
        if (!stalls.hasBegun || events.any { it.hasContent && !isRepeated(it) }) stalls.recordProgress(now)
        progress.recordEvents(now)
        if (count > 0) exchange.bindToVersion(server, now)
        beginStream()
        val batch = EventBatch()
        val end = events.firstNotNullOfOrNull { addEvent(it, batch) }
        batch.bytes?.let(::forwardBytes)
        return end
    }

    /** Adds [event] to [batch] unless the caller has got it; returns the result of the attempt if this ends it. */
    private fun addEvent(event: StreamEvent, batch: EventBatch): AttemptResult? {
        val number = event.number
        val before = progress.lastEventNumber
        if (isRepeated(event)) {
            repeatedBytes += event.bytes.length()
            if (repeatedBytes <= MAXIMUM_REPEATED_BYTES) return null
            backendAttempt.cancel()
            return onFailed("more than $MAXIMUM_REPEATED_BYTES bytes of repeated events")
        }
        if (number != null && before != null && number > before + 1) {
            backendAttempt.cancel()
            return AttemptResult.Failed(ErrorKind.STREAM_BROKEN, "event $number follows $before")
        }
        if (number != null) progress.lastEventNumber = number
        batch.add(event)
        return null
    }

    /** Whether the caller has got [event] already. */
    private fun isRepeated(event: StreamEvent): Boolean {
        val last = progress.lastEventNumber ?: return false
        return event.number != null && event.number <= last
    }

    private fun forwardBytes(bytes: Buffer) {
        if (caller.write(bytes) || isWaitingForCaller) return
        isWaitingForCaller = true
        backendAttempt.pause(true)
        caller.onWritable { exchange.signals.trySend(RequestSignal.CallerWritable) }
    }

    private fun beginStream() = exchange.response.beginStream(checkNotNull(response))

    private fun onComplete(): AttemptResult {
        val head = response ?: return AttemptResult.Failed(ErrorKind.WRONG_ANSWER, "response without a head")
        if (isStream()) {
            if (isBrokenOff(head)) return connectionFailed("stream ended without its last event")
            beginStream()
            caller.end()
            recorder.recordSuccess(clock(), head.isDelimited)
            recordSuccess()
            exchange.log.ended("streamed")
            return AttemptResult.Done
        }
        // Nothing but events of the same stream may follow its beginning.
        if (progress.hasBegunStream) return AttemptResult.Failed(ErrorKind.STREAM_BROKEN, "status ${head.status}")
        val answer = BufferedResponse(head, body)
        exchange.response.hold(buffered)
        if (head.status >= FIRST_SERVER_ERROR) {
            return AttemptResult.Failed(ErrorKind.BACKEND_FAILED, "status ${head.status}", answer)
        }
        val now = clock()
        recorder.recordSuccess(now, head.isDelimited, context.admission.intake.isLate(now))
        recordSuccess()
        exchange.response.forward(answer)
        return AttemptResult.Done
    }

    /** A response without a length ends with its connection, as it does when the server fails within an event. */
    private fun isBrokenOff(head: ResponseHead) = splitter.pendingBytes > 0 ||
        (!progress.hasBegunStream && progress.lastEventNumber == null) ||
        (!hasEvent && !head.isDelimited)

    private fun connectionFailed(detail: String): AttemptResult =
        onFailed(detail, exchange.promptGate.connectionClosed(server, recorder.isAnswered))

    private fun recordSuccess() {
        val sent = progress.sentAt ?: return
        val milliseconds = clock().microsecondsSince(sent).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND
        context.admission.gracefulStop.recordDuration(exchange.authorized.route.name, milliseconds)
    }

    private fun evicted() {
        if (exchange.response.evicted()) exchange.signals.trySend(RequestSignal.BufferEvicted(number))
    }

    private fun onFailed(detail: String, hasServerEnded: Deferred<Boolean>? = null): AttemptResult {
        recorder.recordFailure(clock())
        val kind = if (progress.hasBegunStream) ErrorKind.STREAM_BROKEN else ErrorKind.BACKEND_FAILED
        return AttemptResult.Failed(kind, "$detail at ${server.address}", hasServerEnded = hasServerEnded)
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500

        /** Longer than the part of a stream that a server repeats when it begins again. */
        const val MAXIMUM_REPEATED_BYTES = 1024 * 1024
    }
}
