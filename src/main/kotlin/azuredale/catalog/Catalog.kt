package azuredale.catalog

import azuredale.identity.PoolId

/**
 * Immutable snapshot of the operators' configuration: routes, pools, teams and limits. Each version is a new instance.
 *
 * ```
 * val route = catalog.route("shop.example", "/drafts/2") ?: return notFound()
 * val team = catalog.teamOf(key)
 * ```
 *
 * @property mark identifies the catalog and orders it among others.
 */
public class Catalog(
    public val mark: CatalogMark,
    public val routes: List<Route>,
    pools: List<BackendPool>,
    public val teams: List<CatalogTeam>,
    public val limits: CallerLimits,
) {
    /** Version number assigned by the operators. */
    public val version: Long get() = mark.version

    private val routesByHost =
        routes.groupBy { it.host }.mapValues { (_, list) -> list.sortedByDescending { it.pathPrefix.length } }
    private val teamsByKey = teams.flatMap { team -> team.keys.map { it to team } }.toMap()
    private val poolsById = pools.associateBy { it.id }

    /** Routes by host and first path segment, so that a lookup does not scan a large table. */
    private val routesByFirstSegment: Map<String, Map<String, List<Route>>> =
        routesByHost.mapValues { (_, list) -> list.groupBy { firstSegment(it.pathPrefix) } }

    /** Returns the route of [host] with the longest prefix of [path], or null. */
    public fun route(host: String, path: String): Route? {
        val ofHost = routesByFirstSegment[host] ?: return null
        return ofHost[firstSegment(path)]?.firstOrNull { path.startsWith(it.pathPrefix) }
            ?: ofHost[ROOT_SEGMENT]?.firstOrNull { path.startsWith(it.pathPrefix) }
    }

    /** Whether [host] has any route. */
    public fun hasHost(host: String): Boolean = host in routesByHost

    /** Returns the routes of [host]. */
    public fun routesOf(host: String): List<Route> = routesByHost[host].orEmpty()

    /** Returns the team that owns [key], or null. */
    public fun teamOf(key: String): CatalogTeam? = teamsByKey[key]

    /** Returns the declared pool [id], or null. */
    public fun pool(id: PoolId): BackendPool? = poolsById[id]

    /** All declared pools. */
    public val pools: Collection<BackendPool> get() = poolsById.values

    private companion object {
        const val ROOT_SEGMENT = "/"

        /** Returns the path up to and including its second slash, or `/` if it has only one. */
        fun firstSegment(path: String): String {
            val end = path.indexOf('/', startIndex = 1)
            return if (end < 0) ROOT_SEGMENT else path.substring(0, end + 1)
        }
    }
}
