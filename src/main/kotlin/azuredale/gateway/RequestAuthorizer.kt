package azuredale.gateway

import azuredale.catalog.Catalog
import azuredale.catalog.CatalogMark
import azuredale.catalog.HomeRegions
import azuredale.catalog.Route
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.TeamId
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.outcome.Outcome
import azuredale.outcome.refused
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/**
 * A request that passed the checks against the catalog identified by [mark].
 *
 * @property homes the regions whose servers may get it, null if all may.
 */
internal class AuthorizedRequest(
    val mark: CatalogMark,
    val route: Route,
    val pool: PoolId,
    val team: TeamId?,
    val priority: Int,
    val bodyLimitBytes: Int,
    val homes: Set<Region>? = null,
)

/**
 * Checks requests against the catalog, which must be fresh for requests that need a key.
 *
 * @param isFresh whether the catalog shows every key that was revoked longer ago than callers accept.
 * @param isCurrent whether the catalog shows every change that is due; an older one rules no request out for good.
 */
internal class RequestAuthorizer(
    private val catalog: () -> Catalog?,
    private val isFresh: (Timestamp) -> Boolean,
    private val isClosed: (Timestamp) -> Boolean,
    private val homes: HomeRegions = HomeRegions(emptySet()),
    private val isCurrent: (Timestamp) -> Boolean = { true },
) {
    /** Returns the route, pool and team of [head], or the failure to return to the caller. */
    fun authorize(head: RequestHead, now: Timestamp): Outcome<AuthorizedRequest> {
        if (isClosed(now)) return refused(ErrorKind.DRAINING, retryAt = RetryDelay.elsewhere(now))
        return authorizeByCatalog(head, now)
    }

    /** Returns the failure if [request], which was authorized earlier, may no longer be sent; otherwise null. */
    fun recheck(head: RequestHead, request: AuthorizedRequest, now: Timestamp): Failure? {
        val isProven = request.route.allowsAnonymous || isFresh(now)
        if (isProven && catalog()?.mark == request.mark) return null
        return when (val again = authorizeByCatalog(head, now)) {
            is Outcome.Refused -> again.failure
            is Outcome.Success ->
                changed(now).takeIf {
                    again.value.pool != request.pool ||
                        again.value.team != request.team ||
                        again.value.homes != request.homes
                }
        }
    }

    private fun changed(now: Timestamp) = Failure(
        ErrorKind.NOT_READY,
        "the route changed while the request waited",
        RetryDelay.elsewhere(now),
    )

    private fun authorizeByCatalog(head: RequestHead, now: Timestamp): Outcome<AuthorizedRequest> {
        val current =
            catalog() ?: return refused(ErrorKind.NOT_READY, retryAt = RetryDelay.afterDisruption(now))
        val route = current.route(head.host, head.path) ?: return unknown(ErrorKind.UNKNOWN_ROUTE, now)
        // The key may have been revoked since the last proof of freshness, so it is not looked up.
        if (!route.allowsAnonymous && !isFresh(now)) {
            return refused(ErrorKind.STALE_DOCUMENT, retryAt = RetryDelay.afterDisruption(now))
        }
        val team = head.key?.let { current.teamOf(it) }
        if (team == null && !route.allowsAnonymous) return unknown(ErrorKind.UNKNOWN_KEY, now)
        val pool = route.selectPool(StableHash.fraction(head.id))
        return Outcome.Success(
            AuthorizedRequest(
                mark = current.mark,
                route = route,
                pool = pool,
                team = team?.id,
                priority = team?.priority ?: route.priority,
                bodyLimitBytes = current.limits.maximumBodyBytes,
                homes = homes.of(route, team),
            ),
        )
    }

    /** What an outdated catalog does not know may have been added since, so its caller is told to return. */
    private fun unknown(kind: ErrorKind, now: Timestamp): Outcome.Refused = if (isCurrent(now)) {
        refused(kind)
    } else {
        refused(ErrorKind.STALE_DOCUMENT, retryAt = RetryDelay.afterDisruption(now))
    }
}
