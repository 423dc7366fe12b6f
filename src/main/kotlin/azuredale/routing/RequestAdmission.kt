package azuredale.routing

import azuredale.configuration.AcceptedDocument
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.time.Timestamp

/** Snapshot of the document and its freshness, taken before the request table is locked. */
internal class DocumentSnapshot(
    val accepted: AcceptedDocument?,
    val mayGiveOutWork: Boolean,
)

/** Checks whether a request is allowed by the document. */
internal object RequestAdmission {
    /** Returns the reason for refusing [request], or null if it is admitted. */
    fun refusal(request: CallerRequest, snapshot: DocumentSnapshot, now: Timestamp): Failure? {
        val document = snapshot.accepted?.document ?: return Failure(ErrorKind.NOT_READY)
        val team = document.teams[request.team]
        val pool = request.requirement.pool
        return when {
            team == null -> Failure(ErrorKind.UNKNOWN_TEAM, request.team.name)
            pool !in document.pools -> Failure(ErrorKind.UNKNOWN_POOL, pool.name)
            pool !in team.pools -> Failure(ErrorKind.POOL_NOT_ALLOWED, pool.name)
            request.identity == RequestIdentity.Missing -> Failure(ErrorKind.IDENTITY_REQUIRED)
            !snapshot.mayGiveOutWork -> Failure(ErrorKind.STALE_DOCUMENT)
            document.serversOf(pool).none { document.allows(it.id, request.requirement) } ->
                Failure(ErrorKind.NO_ELIGIBLE_SERVER, pool.name)
            now >= request.deadline -> Failure(ErrorKind.DEADLINE_BEFORE_START)
            else -> null
        }
    }
}
