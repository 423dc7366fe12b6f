package azuredale.sharing

import azuredale.identity.ServerId
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure

/** Checks requests against the configuration document and their deadlines. */
internal class Admission(private val settings: SharingSettings) {
    /** The reason for which [request] must be rejected under the current document, or null when it may be queued. */
    fun rejection(request: QueuedRequest, turn: RequesterTurn): Failure? {
        val pool = request.requirement.pool
        val team = turn.document.teams[request.team]
        return when {
            team == null -> Failure(ErrorKind.UNKNOWN_TEAM, request.team.name)
            pool !in turn.document.pools -> Failure(ErrorKind.UNKNOWN_POOL, pool.name)
            pool !in team.pools -> Failure(ErrorKind.POOL_NOT_ALLOWED, pool.name)
            request.deadline <= turn.now -> Failure(ErrorKind.DEADLINE_BEFORE_START)
            turn.shardMap.eligible(request.requirement).isEmpty() -> {
                val retryAt = turn.now.plusMilliseconds(settings.retryMilliseconds)
                Failure(ErrorKind.NO_ELIGIBLE_SERVER, pool.name, retryAt)
            }
            else -> null
        }
    }

    /** Whether [request] may be sent to [server] now. */
    fun isRunnable(request: QueuedRequest, server: ServerId, turn: RequesterTurn): Boolean =
        turn.mayGiveOutWork && request.deadline > turn.now && turn.document.allows(server, request.requirement)
}
