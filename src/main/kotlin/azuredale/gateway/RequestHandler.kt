package azuredale.gateway

import azuredale.admission.AdmissionRequest
import azuredale.admission.RetryTime
import azuredale.intake.IntakeDecision
import azuredale.intake.WaitingRequest
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.outcome.Outcome
import azuredale.time.Timestamp
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.channels.Channel

/**
 * Handles one request of a caller. The steps are: authorize, read the body, wait for a turn, and then the attempts at
 * servers ([BackendAttempts]), each of which chooses a server, sends the request and reads the response.
 */
internal class RequestHandler(
    private val caller: Caller,
    private val context: GatewayContext,
) {
    private val clock = context.clock
    private val head = caller.head
    private val readAt = clock()
    private val unreadMicroseconds = context.admission.intake.unreadMicroseconds(readAt)

    /** Usual time of arrival of a request that is read at the same time. */
    private val usualArrival = readAt.plusMicroseconds(-unreadMicroseconds / 2)
    private val progress = RequestProgress(readAt.plusMicroseconds(-unreadMicroseconds), head.lastEventNumber)
    private val log = RequestLog(head, progress, context)
    private val response = CallerResponse(caller, context, progress, log)
    private val signals = Channel<RequestSignal>(Channel.UNLIMITED)

    /** Handles the request to completion. */
    suspend fun run() {
        when (val authorization = context.authorizer.authorize(head, readAt)) {
            is Outcome.Refused -> response.refuse(authorization.failure)
            is Outcome.Success -> handle(authorization.value)
        }
    }

    /** Ends the request with an answer, because the process is about to end. */
    fun routerStopped() {
        signals.trySend(RequestSignal.RouterStopped)
    }

    private suspend fun handle(authorized: AuthorizedRequest) {
        log.authorized = authorized
        val route = authorized.route
        // A retry after a refusal has already used part of its latency target.
        val elapsed = context.admission.prompts.elapsedBefore(route.name, head.remainingMilliseconds)
        progress.onTimeUntil = usualArrival.plusMilliseconds(route.targetMilliseconds - elapsed)
        val limit = minOf(head.remainingMilliseconds ?: Long.MAX_VALUE, route.timeoutMilliseconds)
        progress.deadline = progress.arrivedAt.plusMilliseconds(limit)
        if (!canServe(authorized)) return
        if ((caller.declaredBytes ?: 0) > authorized.bodyLimitBytes) {
            return response.refuse(Failure(ErrorKind.REQUEST_TOO_LARGE))
        }
        refuseEarly(authorized)?.let { return response.refuse(it) }
        val room = context.budgets.requestBodies.tryReserve(caller.declaredBytes) ?: awaitRoom()
        if (room == null) return response.refuse(overloaded("no memory for the request body"))
        try {
            read(authorized, room)
        } finally {
            room.release()
        }
    }

    private suspend fun awaitRoom(): RequestBodyBudget.Reservation? {
        caller.pause()
        return context.budgets.requestBodies.reserve(caller.declaredBytes, latestStart())
    }

    private suspend fun read(authorized: AuthorizedRequest, room: RequestBodyBudget.Reservation) {
        when (val body = caller.readBody(authorized.bodyLimitBytes, room::grow)) {
            is BodyResult.TooLarge -> response.refuse(Failure(ErrorKind.REQUEST_TOO_LARGE))
            is BodyResult.NoRoom -> response.refuse(overloaded("no memory for the rest of the request body"))
            is BodyResult.Incomplete -> log.ended("caller disconnected before its body was complete")
            is BodyResult.Complete -> if (canServe(authorized)) serve(authorized, body.bytes)
        }
    }

    /** Returns the failure for a request that its team's share has no room for, while other requests wait. */
    private fun refuseEarly(authorized: AuthorizedRequest): Failure? {
        val prompt = head.prompt ?: return null
        if (context.admission.intake.waiting == 0) return null
        val target = authorized.route.targetMilliseconds
        val request = AdmissionRequest(authorized.team, target, progress.onTimeUntil, progress.deadline)
        return context.admission.prompts.refuseEarly(prompt, request, clock())
    }

    /** Whether the request can still end in time; otherwise it is refused. */
    private fun canServe(authorized: AuthorizedRequest): Boolean {
        val now = clock()
        val failure =
            when {
                !context.admission.gracefulStop.canFinish(authorized.route.name, progress.deadline, now) -> {
                    val retryAt = RetryDelay.elsewhere(now)
                    Failure(ErrorKind.DRAINING, "cannot end in time", retryAt)
                }
                now >= progress.deadline -> {
                    val retryAt = RetryDelay.afterDisruption(now)
                    Failure(ErrorKind.DEADLINE_BEFORE_START, "read too late", retryAt)
                }
                else -> return true
            }
        response.refuse(failure)
        return false
    }

    private suspend fun serve(authorized: AuthorizedRequest, body: Buffer) {
        if (!awaitTurn(authorized)) return
        context.budgets.retries.recordRequest(authorized.pool, clock())
        caller.onDisconnect { signals.trySend(RequestSignal.CallerGone) }
        val timer = context.timer(progress.deadline) { signals.trySend(RequestSignal.DeadlinePassed) }
        val promptGate = PromptGate(head.prompt, context.admission.quarantine, clock)
        val exchange =
            RequestExchange(caller, context, authorized, progress, response, log, promptGate, signals)
        try {
            BackendAttempts(exchange, body).run()
        } finally {
            timer.cancel()
            response.release()
        }
    }

    /** Waits for this request's turn; returns false if it was given up before it started. */
    private suspend fun awaitTurn(authorized: AuthorizedRequest): Boolean {
        val cost = RequestCost.of(head.prompt, context.recorders.tokensPerEvent(authorized.pool))
        val request = WaitingRequest(head.key.orEmpty(), progress.arrivedAt, latestStart(), cost)
        caller.onDisconnect { context.admission.intake.callerGone(request) }
        when (context.admission.intake.awaitTurn(request)) {
            IntakeDecision.START -> return true
            IntakeDecision.CALLER_GONE -> log.ended("caller disconnected before the request started")
            IntakeDecision.OVERLOADED -> response.refuse(overloaded("not started"))
        }
        return false
    }

    /** The time until which the request has to begin; later, its caller is better served by another router. */
    private fun latestStart(): Timestamp {
        val thirdOfTime = progress.deadline.microsecondsSince(progress.arrivedAt) / MAXIMUM_WAIT_PARTS
        return readAt.plusMicroseconds(minOf(thirdOfTime, MAXIMUM_WAIT_MICROSECONDS))
    }

    private fun overloaded(detail: String): Failure {
        val now = clock()
        val retryAt = RetryTime.at(progress.remainingMilliseconds(now), context.admission.random(), now)
        return Failure(ErrorKind.OVERLOADED, "$detail for ${progress.ageMilliseconds(now)} ms", retryAt)
    }

    private companion object {
        /** A request starts within a third of the caller's time, so that another router can serve it after that. */
        const val MAXIMUM_WAIT_PARTS = 3L

        /** After this time callers regard a router that has not answered as failed. */
        const val MAXIMUM_WAIT_MICROSECONDS = Timestamp.MICROSECONDS_PER_MILLISECOND * 1_000L
    }
}
