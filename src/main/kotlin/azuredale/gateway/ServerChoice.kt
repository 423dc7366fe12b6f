package azuredale.gateway

import azuredale.admission.AdmissionRequest
import azuredale.admission.LatencyPrediction
import azuredale.admission.RetryTime
import azuredale.engine.RoomNeed
import azuredale.engine.RoomVerdict
import azuredale.engine.SelectionRequest
import azuredale.engine.ServerSelection
import azuredale.identity.ServerId
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.time.Timestamp

/** What happens to a request next. */
internal sealed interface NextStep {
    /** It is sent. */
    class Send(val selection: ServerSelection.Selected) : NextStep

    /** It ends with [failure]. */
    class Refuse(val failure: Failure) : NextStep

    /**
     * It waits until a server has room for it.
     *
     * @property missingTokens what the server with most room lacks.
     * @property roomAt when that is predicted.
     * @property latestStart when it has to begin at the latest.
     */
    class Wait(
        val need: RoomNeed,
        val missingTokens: Long,
        val roomAt: Timestamp,
        val latestStart: Timestamp,
    ) : NextStep
}

/** Returns null if a prompt is admitted, otherwise the failure to return to the caller. */
private typealias PromptDecision = (PromptShape, AdmissionRequest, LatencyPrediction, Timestamp) -> Failure?

/**
 * Chooses the server for each attempt of one request, and decides whether the request is admitted.
 *
 * @param onTimeUntil when the latency target of the request expires.
 * @param deadline when the caller stops waiting.
 */
internal class ServerChoice(
    private val context: GatewayContext,
    private val prompt: PromptShape?,
    private val promptGate: PromptGate,
    private val authorized: AuthorizedRequest,
    private val onTimeUntil: Timestamp,
    private val deadline: Timestamp,
) {
    private val excluded = HashSet<ServerId>()

    /** Keeps further attempts away from [server]. */
    fun exclude(server: ServerId) {
        excluded += server
    }

    /**
     * Returns the server for the next attempt, the failure to return to the caller, or that the request has to wait.
     *
     * @param isFirst whether the request has not been sent to any server.
     */
    suspend fun next(isFirst: Boolean, now: Timestamp): NextStep {
        context.admission.sendGuard
            .directoryFailure(now)
            ?.let { return NextStep.Refuse(it) }
        promptGate.refusal(now)?.let { return NextStep.Refuse(it) }
        val selection = context.selector.select(selectionRequest(now), now)
        val step = decide(selection, isFirst, context.admission.prompts::decide, now)
        if (selection is ServerSelection.NoRoom && step is NextStep.Refuse) recordNoRoom(selection, now)
        return step
    }

    /**
     * Returns the server for a request that waits for room and has its turn, the failure to return to the caller, or
     * null if it has to wait on.
     *
     * @param asksPerSecond how often the request asks.
     */
    fun ask(asksPerSecond: Double, now: Timestamp): NextStep? {
        obstacle(now)?.let { return it }
        val selection = context.selector.select(selectionRequest(now).copy(asksPerSecond = asksPerSecond), now)
        if (selection is ServerSelection.NoRoom) return null
        return decide(selection, isFirst = true, context.admission.prompts::decide, now)
    }

    /** Returns the failure of a request that waits for room if it need not wait any more, otherwise null. */
    fun recheck(now: Timestamp): NextStep.Refuse? {
        obstacle(now)?.let { return it }
        val selection = context.selector.preview(selectionRequest(now).copy(asksPerSecond = 0.0), now)
        if (selection is ServerSelection.NoRoom || selection is ServerSelection.Selected) return null
        return decide(selection, isFirst = true, context.admission.prompts::preview, now) as? NextStep.Refuse
    }

    /** The refusal of a request that found no room before its latest start; counts as a request of the team. */
    fun noRoomInTime(waitedMilliseconds: Long, now: Timestamp): Failure {
        val selection = context.selector.preview(selectionRequest(now), now) as? ServerSelection.NoRoom
        recordNoRoom(selection ?: ServerSelection.NoRoom(missingTokens = 0, freeAt = null), now)
        val detail = "no server has had room for $waitedMilliseconds ms"
        return Failure(ErrorKind.PREDICTED_LATE, detail, returnTime(selection?.freeAt, now))
    }

    /** What [next] would return for a first attempt; has no effect. */
    fun preview(now: Timestamp): NextStep {
        obstacle(now)?.let { return it }
        val selection = context.selector.preview(selectionRequest(now), now)
        return decide(selection, isFirst = true, context.admission.prompts::preview, now)
    }

    /** What the choice of a server depends on. */
    fun selectionRequest(now: Timestamp) = SelectionRequest(
        pool = authorized.pool,
        team = authorized.team,
        prompt = prompt,
        origin = context.settings.failureDomain,
        onTimeUntil = onTimeUntil,
        deadline = deadline,
        excluded = excluded,
        confinedTo = promptGate.confinedTo(now),
        route = authorized.route.name,
        homes = authorized.homes,
    )

    /** Why the request may not be sent to any server now, without the claim of a trial. */
    private fun obstacle(now: Timestamp): NextStep.Refuse? =
        (context.admission.sendGuard.directoryFailure(now) ?: promptGate.preview(now))?.let { NextStep.Refuse(it) }

    private fun decide(selection: ServerSelection, isFirst: Boolean, admit: PromptDecision, now: Timestamp): NextStep =
        when (selection) {
            is ServerSelection.Unavailable -> NextStep.Refuse(unavailable(selection.detail, now))
            is ServerSelection.OnHold -> NextStep.Refuse(onHold(selection.until, now))
            is ServerSelection.LimitsUsedUp -> NextStep.Refuse(limitsUsedUp(admit, now))
            is ServerSelection.TooLarge ->
                NextStep.Refuse(Failure(ErrorKind.REQUEST_TOO_LARGE, "larger than a server's memory"))
            is ServerSelection.NoRoom ->
                if (isFirst) {
                    waitOrRefuse(
                        selection,
                        now,
                    )
                } else {
                    NextStep.Refuse(noRoom(selection, now))
                }
            is ServerSelection.Selected -> {
                val refusal = lateService(selection, now) ?: if (isFirst) checkLoad(selection, admit, now) else null
                refusal?.let { NextStep.Refuse(it) } ?: NextStep.Send(selection)
            }
        }

    private fun waitOrRefuse(selection: ServerSelection.NoRoom, now: Timestamp): NextStep {
        val need = selection.need ?: return NextStep.Refuse(noRoom(selection, now))
        if (context.admission.gracefulStop.isBegun) {
            return NextStep.Refuse(Failure(ErrorKind.DRAINING, "no server has room", RetryDelay.elsewhere(now)))
        }
        val latestStart = latestStart(now)
        return when (
            context.admission.rooms.queue
                .judge(authorized.team, selection.freeAt, latestStart)
        ) {
            RoomVerdict.WAITS -> NextStep.Wait(need, selection.missingTokens, selection.freeAt ?: now, latestStart)
            RoomVerdict.TOO_LATE -> NextStep.Refuse(noRoom(selection, now))
            RoomVerdict.QUEUE_FULL -> {
                val retryAt = returnTime(selection.freeAt, now)
                NextStep.Refuse(Failure(ErrorKind.QUEUE_FULL, "too many requests wait for room", retryAt))
            }
        }
    }

    /** When a request that waits from [now] on has to begin, to end in time and not to keep its caller too long. */
    private fun latestStart(now: Timestamp): Timestamp {
        val wait = minOf(deadline.microsecondsSince(now) / MAXIMUM_WAIT_PARTS, MAXIMUM_WAIT_MICROSECONDS)
        val usual = context.selector.usualMilliseconds(authorized.pool).toLong()
        return minOf(now.plusMicroseconds(wait), deadline.plusMilliseconds(-usual))
    }

    /** The refusal of a request to a plain service that the best server would answer after its deadline. */
    private fun lateService(selection: ServerSelection.Selected, now: Timestamp): Failure? {
        if (prompt != null || context.selector.services.canAnswer(selection, deadline, now)) return null
        val remaining = deadline.microsecondsSince(now) / Timestamp.MICROSECONDS_PER_MILLISECOND
        val predicted = selection.predictedMilliseconds.toLong()
        return Failure(
            ErrorKind.PREDICTED_LATE,
            "predicted $predicted ms, $remaining ms left",
            RetryTime.at(remaining, context.admission.random(), now),
        )
    }

    private fun checkLoad(selection: ServerSelection.Selected, admit: PromptDecision, now: Timestamp): Failure? {
        val pressure = context.selector.limitPressure(authorized.pool, now)
        val scarcity = minOf(pressure, MAXIMUM_PRESSURE) * authorized.route.targetMilliseconds
        val prediction =
            LatencyPrediction(selection.predictedMilliseconds + scarcity, selection.meanMilliseconds + scarcity)
        return admitted(prediction, admit, now)
    }

    /** The refusal counts as a request of the team, whose caller may return when the team's share has room. */
    private fun limitsUsedUp(admit: PromptDecision, now: Timestamp): Failure {
        val remaining = deadline.microsecondsSince(now).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND
        return admitted(LatencyPrediction(remaining), admit, now)
            ?: unavailable("the limits of all servers are used up", now)
    }

    /** The refusal for lack of room counts as a request of the team. */
    private fun recordNoRoom(selection: ServerSelection.NoRoom, now: Timestamp) {
        context.admission.memoryLog.recordRefusal(authorized.pool, selection, now)
        prompt?.let { context.admission.prompts.recordRefused(it, authorized.team, now) }
    }

    /** The caller may return when room has probably been freed. */
    private fun noRoom(selection: ServerSelection.NoRoom, now: Timestamp): Failure {
        val retryAt = returnTime(selection.freeAt, now)
        return Failure(
            ErrorKind.PREDICTED_LATE,
            "no server has room, ${selection.missingTokens} tokens missing",
            retryAt,
        )
    }

    /** Within the time that callers wait at most, spread over as long again as room takes to become free. */
    private fun returnTime(freeAt: Timestamp?, now: Timestamp): Timestamp {
        val random = context.admission.random()
        val remaining = deadline.microsecondsSince(now) / Timestamp.MICROSECONDS_PER_MILLISECOND
        val latest = RetryTime.at(remaining, random = 1.0, now)
        if (freeAt == null) return RetryTime.at(remaining, random, now)
        val spread = freeAt.plusMicroseconds((freeAt.microsecondsSince(now) * random).toLong())
        return minOf(maxOf(spread, now.plusMilliseconds(RetryTime.MINIMUM_WAIT_MILLISECONDS.toLong())), latest)
    }

    private fun admitted(prediction: LatencyPrediction, admit: PromptDecision, now: Timestamp): Failure? = prompt?.let {
        val request = AdmissionRequest(authorized.team, authorized.route.targetMilliseconds, onTimeUntil, deadline)
        admit(it, request, prediction, now)
    }

    /** Callers return within the same time again after the servers do, so that not all of them come at one moment. */
    private fun onHold(until: Timestamp, now: Timestamp): Failure {
        val spread = (until.microsecondsSince(now) * context.admission.random()).toLong()
        return Failure(
            ErrorKind.NO_ELIGIBLE_SERVER,
            "all servers want no requests for now",
            until.plusMicroseconds(spread),
        )
    }

    private fun unavailable(detail: String, now: Timestamp) =
        Failure(ErrorKind.NO_ELIGIBLE_SERVER, detail, RetryDelay.afterDisruption(now))

    private companion object {
        /** While limits leave no server for some requests, only teams above their fair share are refused in advance. */
        const val MAXIMUM_PRESSURE = 0.4

        /** Callers that are refused return after a third of their time at the latest; waiting takes no longer. */
        const val MAXIMUM_WAIT_PARTS = 3L

        /** Half of the time after which callers give up a stream that has not begun. */
        const val MAXIMUM_WAIT_MICROSECONDS = Timestamp.MICROSECONDS_PER_SECOND
    }
}
