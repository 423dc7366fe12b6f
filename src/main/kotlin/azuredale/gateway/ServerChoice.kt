package azuredale.gateway

import azuredale.admission.AdmissionRequest
import azuredale.admission.LatencyPrediction
import azuredale.admission.RetryTime
import azuredale.engine.SelectionRequest
import azuredale.engine.ServerSelection
import azuredale.identity.ServerId
import azuredale.identity.SoftwareVersion
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.outcome.Outcome
import azuredale.time.Timestamp

/** Returns null if a prompt is admitted, otherwise the failure to return to the caller. */
private typealias PromptDecision = (PromptShape, AdmissionRequest, LatencyPrediction, Timestamp) -> Failure?

/**
 * Chooses the server for each attempt of one request, and decides whether the request is admitted.
 *
 * @param onTimeUntil when the latency target of the request expires.
 * @param deadline when the caller stops waiting.
 * @param softwareVersion the version of the servers whose events the caller has, null while there are none.
 */
internal class ServerChoice(
    private val context: GatewayContext,
    private val prompt: PromptShape?,
    private val promptGate: PromptGate,
    private val authorized: AuthorizedRequest,
    private val onTimeUntil: Timestamp,
    private val deadline: Timestamp,
    private val softwareVersion: () -> SoftwareVersion? = { null },
) {
    private val excluded = HashSet<ServerId>()

    /** Keeps further attempts away from [server]. */
    fun exclude(server: ServerId) {
        excluded += server
    }

    /**
     * Returns the server for the next attempt, or the failure to return to the caller.
     *
     * @param isFirst whether the request has not been sent to any server.
     */
    suspend fun next(isFirst: Boolean, now: Timestamp): Outcome<ServerSelection.Selected> {
        directoryFailure(now)?.let { return it }
        promptGate.refusal(now)?.let { return Outcome.Refused(it) }
        val selection = context.selector.select(selectionRequest(now), now)
        if (selection is ServerSelection.NoRoom) recordNoRoom(selection, now)
        return decide(selection, isFirst, context.admission.prompts::decide, now)
    }

    /** What [next] would return for a first attempt; has no effect. */
    fun preview(now: Timestamp): Outcome<ServerSelection.Selected> {
        directoryFailure(now)?.let { return it }
        promptGate.preview(now)?.let { return Outcome.Refused(it) }
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
        softwareVersions = softwareVersions(),
    )

    private fun softwareVersions(): Set<SoftwareVersion>? {
        if (!authorized.route.isResumable) return null
        return softwareVersion()?.let(::setOf) ?: context.admission.resumption.beginning(authorized.pool)
    }

    private fun directoryFailure(now: Timestamp) = context.admission.sendGuard
        .directoryFailure(now)
        ?.let { Outcome.Refused(it) }

    private fun decide(
        selection: ServerSelection,
        isFirst: Boolean,
        admit: PromptDecision,
        now: Timestamp,
    ): Outcome<ServerSelection.Selected> = when (selection) {
        is ServerSelection.Unavailable -> Outcome.Refused(unavailable(selection.detail, now))
        is ServerSelection.OnHold -> Outcome.Refused(onHold(selection.until, now))
        is ServerSelection.LimitsUsedUp -> Outcome.Refused(limitsUsedUp(admit, now))
        is ServerSelection.TooLarge ->
            Outcome.Refused(Failure(ErrorKind.REQUEST_TOO_LARGE, "larger than a server's memory"))
        is ServerSelection.NoRoom -> Outcome.Refused(noRoom(selection, now))
        is ServerSelection.Selected -> {
            val refusal = lateService(selection, now) ?: if (isFirst) checkLoad(selection, admit, now) else null
            refusal?.let { Outcome.Refused(it) } ?: Outcome.Success(selection)
        }
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
    }
}
