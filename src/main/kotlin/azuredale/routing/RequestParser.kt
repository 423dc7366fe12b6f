package azuredale.routing

import azuredale.configuration.AcceptedDocument
import azuredale.configuration.Requirement
import azuredale.identity.PoolId
import azuredale.identity.RequestNumber
import azuredale.identity.TeamId
import azuredale.outcome.ErrorKind
import azuredale.outcome.Execution
import azuredale.outcome.Outcome
import azuredale.outcome.refused
import azuredale.time.Timestamp
import io.vertx.core.MultiMap
import io.vertx.core.http.HttpMethod

/** Parses the headers of a caller's request. */
internal class RequestParser(private val settings: EdgeSettings) {
    fun team(headers: MultiMap): Outcome<TeamId> {
        val bearer = headers.value("Authorization")?.takeIf { it.startsWith(BEARER, ignoreCase = true) }
        val name = headers.value(Headers.TEAM) ?: bearer?.substring(BEARER.length)?.trim()
        return if (name.isNullOrEmpty()) invalid("no team is named") else Outcome.Success(TeamId(name))
    }

    /** Parses a completion request. It is idempotent unless a header says otherwise or it has a ticket or key. */
    fun completion(
        number: RequestNumber,
        headers: MultiMap,
        body: CompletionBody,
        document: AcceptedDocument?,
        now: Timestamp,
    ): Outcome<CallerRequest> = withTeam(headers) { team ->
        val resolved =
            document?.let { ModelResolver.resolve(it.document, team, body.model, body.adapter) }
                ?: refused(ErrorKind.NOT_READY)
        when (resolved) {
            is Outcome.Success ->
                parseCommon(number, headers, team, resolved.value, isIdempotentByDefault = true, now)
                    .map { it.copy(prefix = PromptPrefix.fingerprint(body.prompt), isResumable = true) }
            is Outcome.Refused -> withUnknownExecution(resolved, headers)
        }
    }

    /** Parses a request to a plain service. POST and PATCH are non-idempotent unless a header says otherwise. */
    fun service(
        number: RequestNumber,
        headers: MultiMap,
        pool: PoolId,
        method: HttpMethod,
        now: Timestamp,
    ): Outcome<CallerRequest> = withTeam(headers) { team ->
        parseCommon(number, headers, team, Requirement(pool), isIdempotentByDefault = method !in nonIdempotent, now)
    }

    private fun withTeam(headers: MultiMap, block: (TeamId) -> Outcome<CallerRequest>): Outcome<CallerRequest> =
        when (val team = team(headers)) {
            is Outcome.Success -> block(team.value)
            is Outcome.Refused -> team
        }

    private fun parseCommon(
        number: RequestNumber,
        headers: MultiMap,
        team: TeamId,
        requirement: Requirement,
        isIdempotentByDefault: Boolean,
        now: Timestamp,
    ): Outcome<CallerRequest> {
        val hint = headers.value(Headers.COST_HINT)
        val deadline = headers.value(Headers.DEADLINE)
        val mark = headers.value(Headers.IDEMPOTENT)
        val latest = now.plusSeconds(settings.requestDeadlineSeconds)
        return when {
            hint != null && (hint.toDoubleOrNull()?.let { it.isFinite() && it >= 0 } != true) ->
                invalid("${Headers.COST_HINT} is not a number")
            deadline != null && deadline.toLongOrNull()?.takeIf { it in 0..MAXIMUM_DEADLINE_MILLISECONDS } == null ->
                invalid("${Headers.DEADLINE} is not a number of milliseconds")
            mark != null && mark.toBooleanStrictOrNull() == null ->
                invalid(
                    "${Headers.IDEMPOTENT} is not true or false",
                )
            headers.contains(Headers.TICKET) && headers.contains(Headers.IDEMPOTENCY_KEY) ->
                invalid("a request carries either a ticket or an idempotency key")
            headers.value(Headers.IDEMPOTENCY_KEY).orEmpty().length > MAXIMUM_KEY_LENGTH ->
                invalid("${Headers.IDEMPOTENCY_KEY} is longer than $MAXIMUM_KEY_LENGTH characters")
            else ->
                Outcome.Success(
                    CallerRequest(
                        number,
                        team,
                        requirement,
                        deadline?.toLong()?.let { minOf(Timestamp.ofMilliseconds(it), latest) } ?: latest,
                        identity(headers, mark?.toBooleanStrict() ?: isIdempotentByDefault),
                        hint?.toDouble(),
                    ),
                )
        }
    }

    private fun identity(headers: MultiMap, isIdempotent: Boolean): RequestIdentity {
        val ticket = headers.value(Headers.TICKET)
        val key = headers.value(Headers.IDEMPOTENCY_KEY)
        return when {
            ticket != null -> RequestIdentity.Ticket(ticket)
            key != null -> RequestIdentity.Key(key)
            isIdempotent -> RequestIdentity.Idempotent
            else -> RequestIdentity.Missing
        }
    }

    /** Sets the execution to unknown if the request has a ticket or key: it may have run before, here or elsewhere. */
    private fun withUnknownExecution(outcome: Outcome.Refused, headers: MultiMap): Outcome.Refused {
        val hasIdentity = headers.contains(Headers.TICKET) || headers.contains(Headers.IDEMPOTENCY_KEY)
        return if (hasIdentity) Outcome.Refused(outcome.failure.copy(execution = Execution.UNKNOWN)) else outcome
    }

    private fun <A, B> Outcome<A>.map(change: (A) -> B): Outcome<B> = when (this) {
        is Outcome.Success -> Outcome.Success(change(value))
        is Outcome.Refused -> this
    }

    private fun invalid(detail: String): Outcome.Refused = refused(ErrorKind.INVALID_REQUEST, detail)

    private companion object {
        const val BEARER = "Bearer "
        const val MAXIMUM_KEY_LENGTH = 256

        // Prevents overflow in the conversion to microseconds.
        const val MAXIMUM_DEADLINE_MILLISECONDS = 4_000_000_000_000L
        val nonIdempotent = setOf(HttpMethod.POST, HttpMethod.PATCH)
    }
}
