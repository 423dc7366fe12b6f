package azuredale.sharing

import azuredale.identity.ServerId
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure

/** Checks requests against the configuration document and their deadlines. */
internal class Admission(private val settings: SharingSettings) {
    /** The reason for which [request] must be rejected under the current document, or null when it may be queued. */
    fun rejection(request: QueuedRequest, context: RequesterContext): Failure? {
        val pool = request.requirement.pool
        val team = context.document.teams[request.team]
        return when {
            team == null -> Failure(ErrorKind.UNKNOWN_TEAM, request.team.name)
            pool !in context.document.pools -> Failure(ErrorKind.UNKNOWN_POOL, pool.name)
            pool !in team.pools -> Failure(ErrorKind.POOL_NOT_ALLOWED, pool.name)
            request.deadline <= context.now -> Failure(ErrorKind.DEADLINE_BEFORE_START)
            context.shardMap.eligible(request.requirement).isEmpty() -> {
                val retryAt = context.now.plusMilliseconds(settings.retryMilliseconds)
                Failure(ErrorKind.NO_ELIGIBLE_SERVER, pool.name, retryAt)
            }
            else -> null
        }
    }

    /** Whether [request] may be sent to [server] now. */
    fun isRunnable(request: QueuedRequest, server: ServerId, context: RequesterContext): Boolean =
        context.mayGiveOutWork && request.deadline > context.now && context.document.allows(server, request.requirement)
}
