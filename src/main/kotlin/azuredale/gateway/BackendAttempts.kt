package azuredale.gateway

import azuredale.directory.BackendEntry
import azuredale.engine.ServerSelection
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.outcome.Outcome
import azuredale.resumption.ResumptionDecision
import io.vertx.core.buffer.Buffer

/**
 * Sends one request to a server, and to further ones as far as that is allowed.
 *
 * A non-idempotent request or a stream that cannot be resumed is sent to a server at most once, unless that server
 * stated that it did not execute the request.
 */
internal class BackendAttempts(
    private val exchange: RequestExchange,
    private val body: Buffer,
) {
    private val context = exchange.context
    private val clock = context.clock
    private val head = exchange.caller.head
    private val progress = exchange.progress
    private val route = exchange.authorized.route
    private val servers =
        ServerChoice(
            context = context,
            prompt = head.prompt,
            promptGate = exchange.promptGate,
            authorized = exchange.authorized,
            onTimeUntil = progress.onTimeUntil,
            deadline = progress.deadline,
            softwareVersion = { progress.softwareVersion },
        )

    /** Runs attempts until the request has ended. */
    suspend fun run() {
        val failure = resumptionFailure()
        if (failure == null) runAttempts() else exchange.response.refuse(failure)
    }

    private suspend fun runAttempts() {
        var notRun: Failure? = null
        var connectFailures = 0
        while (true) {
            val selection =
                when (val next = servers.next(isFirst = progress.attempts == 0, clock())) {
                    is Outcome.Refused -> return exchange.response.giveUp(notRun ?: next.failure)
                    is Outcome.Success -> next.value
                }
            when (val end = runAttempt(selection)) {
                is AttemptResult.Done -> return
                is AttemptResult.NotRun -> {
                    servers.exclude(selection.server.id)
                    notRun = Failure(end.kind, end.detail, RetryDelay.afterDisruption(clock()))
                    if (end.isFinal) return exchange.response.giveUp(notRun)
                    if (!end.wasSent && ++connectFailures <= MAXIMUM_CONNECT_FAILURES) continue
                    if (!end.wasSent ||
                        !mayRetry(selection, RetryWorth.NOT_RUN)
                    ) {
                        return exchange.response.giveUp(notRun)
                    }
                }
                is AttemptResult.Failed -> {
                    servers.exclude(selection.server.id)
                    if (end.isFinal ||
                        !route.isRepeatable ||
                        !mayRepeat(end, selection)
                    ) {
                        return exchange.response.fail(end)
                    }
                    notRun = null
                    exchange.response.recordPossibleRun(end)
                }
            }
        }
    }

    /** Finds out where a broken stream may go on; returns the failure if that is nowhere. */
    private suspend fun resumptionFailure(): Failure? {
        if (!route.isResumable || head.lastEventNumber == null) return null
        val decision = context.admission.resumption.decide(head.resumedRequest, exchange.authorized.pool)
        return when (decision) {
            is ResumptionDecision.GoOn -> {
                progress.softwareVersion = decision.version
                null
            }
            is ResumptionDecision.Refuse ->
                Failure(ErrorKind.STREAM_ORIGIN_UNKNOWN, decision.detail, RetryDelay.afterDisruption(clock()))
        }
    }

    private suspend fun mayRepeat(end: AttemptResult.Failed, selection: ServerSelection.Selected): Boolean {
        val worth = if (progress.hasBegunStream) RetryWorth.BROKEN_STREAM else RetryWorth.UNANSWERED
        return exchange.promptGate.mayRepeat(end.hasServerEnded) && mayRetry(selection, worth)
    }

    /** A retry that could not be answered in time by a server like that of the last [selection] would be in vain. */
    private fun mayRetry(selection: ServerSelection.Selected, worth: RetryWorth): Boolean {
        val now = clock()
        val usual = context.selector.services.usualMilliseconds(selection.server)
        val usualEnd = now.plusMilliseconds(usual.toLong())
        return progress.sentCount < route.maximumServers &&
            usualEnd < progress.deadline &&
            context.budgets.retries.tryAcquire(exchange.authorized.pool, now, worth)
    }

    private suspend fun runAttempt(selection: ServerSelection.Selected): AttemptResult {
        val number = ++progress.attempts
        progress.selection = selection
        val recorder = context.recorders.create(selection, head.prompt, route.name, clock())
        val backendAttempt =
            context.backends.send(
                server = selection.server,
                requestId = head.id,
                requiresRecentConnection = !route.isRepeatable,
                decide = { decideSending(selection.server) },
                onEvent = { exchange.signals.trySend(RequestSignal.FromBackend(number, it)) },
            )
        val reader = AttemptReader(exchange, number, selection.server, recorder, backendAttempt)
        val end =
            try {
                reader.read()
            } catch (failure: Throwable) {
                backendAttempt.cancel()
                throw failure
            } finally {
                reader.release()
                recorder.release(clock())
            }
        exchange.log.attemptFailed(end, selection.server)
        return end
    }

    private fun decideSending(server: BackendEntry): SendDecision {
        val now = clock()
        context.admission.sendGuard
            .objection(exchange.caller, exchange.authorized, server, progress.deadline, now)
            ?.let { return it }
        return SendDecision.Send(
            BackendRequest(
                head = head,
                body = body,
                team = exchange.authorized.team?.name,
                remainingMilliseconds = progress.remainingMilliseconds(now).coerceAtLeast(1),
                lastEventNumber = progress.lastEventNumber,
            ),
        )
    }

    private companion object {
        /** Each unreachable server costs a connect time-out, so more attempts would use up the caller's time. */
        const val MAXIMUM_CONNECT_FAILURES = 3
    }
}
