package azuredale.gateway

import azuredale.catalog.Catalog
import azuredale.catalog.Route
import azuredale.identity.PoolId
import azuredale.identity.TeamId
import azuredale.outcome.ErrorKind
import azuredale.outcome.Outcome
import azuredale.outcome.refused
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/** A request that the catalog allows. */
internal class AdmittedRequest(
    val route: Route,
    val pool: PoolId,
    val team: TeamId?,
    val rank: Int,
    val bodyLimitBytes: Int,
)

/** Checks a request against the catalog and the proof that the catalog is the newest. */
internal class RequestAdmission(
    private val catalog: () -> Catalog?,
    private val isFresh: (Timestamp) -> Boolean,
    private val isClosed: (Timestamp) -> Boolean,
) {
    /** The route, pool and team of [head], or the failure to answer. */
    fun admit(head: RequestHead, now: Timestamp): Outcome<AdmittedRequest> {
        if (isClosed(now)) return refused(ErrorKind.DRAINING, retryAt = now.plusMilliseconds(ELSEWHERE_MILLISECONDS))
        val present =
            catalog() ?: return refused(ErrorKind.NOT_READY, retryAt = now.plusMilliseconds(RETRY_MILLISECONDS))
        val route = present.route(head.host, head.path) ?: return refused(ErrorKind.UNKNOWN_ROUTE)
        // Without a fresh proof the key may have been taken away, so it is not even looked up.
        if (!route.isOpen && !isFresh(now)) {
            return refused(ErrorKind.STALE_DOCUMENT, retryAt = now.plusMilliseconds(RETRY_MILLISECONDS))
        }
        val team = head.key?.let { present.teamOf(it) }
        if (team == null && !route.isOpen) return refused(ErrorKind.UNKNOWN_KEY)
        val pool = route.poolAt(StableHash.fraction(head.id))
        return Outcome.Success(
            AdmittedRequest(
                route = route,
                pool = pool,
                team = team?.id,
                rank = team?.rank ?: route.rank,
                bodyLimitBytes = present.limits.maximumBodyBytes,
            ),
        )
    }

    private companion object {
        /** A read of the store and an exchange with a peer take less. */
        const val RETRY_MILLISECONDS = 200L

        /** Another router takes the request at once. */
        const val ELSEWHERE_MILLISECONDS = 20L
    }
}
