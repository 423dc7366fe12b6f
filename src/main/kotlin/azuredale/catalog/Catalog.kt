package azuredale.catalog

import azuredale.identity.PoolId
import azuredale.identity.Revision

/**
 * The operators' configuration in force: routes, pools, teams and limits. Immutable; a new revision is a new catalog.
 *
 * ```
 * val route = catalog.route("shop.example", "/drafts/2") ?: return notFound()
 * val team = catalog.teamOf(key)
 * ```
 *
 * @property revision revision of the stored value, which orders catalogs.
 * @property version the operators' own number, for logs only.
 */
public class Catalog(
    public val revision: Revision,
    public val version: Long,
    public val routes: List<Route>,
    pools: List<BackendPool>,
    public val teams: List<CatalogTeam>,
    public val limits: CallerLimits,
) {
    private val routesByHost =
        routes.groupBy { it.host }.mapValues { (_, list) -> list.sortedByDescending { it.pathPrefix.length } }
    private val teamsByKey = teams.flatMap { team -> team.keys.map { it to team } }.toMap()
    private val poolsById = pools.associateBy { it.id }

    /** Routes whose first path segment decides, so that a large table is not searched for every request. */
    private val routesByFirstSegment: Map<String, Map<String, List<Route>>> =
        routesByHost.mapValues { (_, list) -> list.groupBy { firstSegment(it.pathPrefix) } }

    /** The route of [host] with the longest prefix of [path], or null. */
    public fun route(host: String, path: String): Route? {
        val ofHost = routesByFirstSegment[host] ?: return null
        return ofHost[firstSegment(path)]?.firstOrNull { path.startsWith(it.pathPrefix) }
            ?: ofHost[ROOT_SEGMENT]?.firstOrNull { path.startsWith(it.pathPrefix) }
    }

    /** Whether any route belongs to [host]. */
    public fun hasHost(host: String): Boolean = host in routesByHost

    /** The team that holds [key], or null. */
    public fun teamOf(key: String): CatalogTeam? = teamsByKey[key]

    /** The declared pool [id], or null. */
    public fun pool(id: PoolId): BackendPool? = poolsById[id]

    /** All declared pools. */
    public val pools: Collection<BackendPool> get() = poolsById.values

    private companion object {
        const val ROOT_SEGMENT = "/"

        /** The path up to and including its second slash, `/` for a path with less. */
        fun firstSegment(path: String): String {
            val end = path.indexOf('/', startIndex = 1)
            return if (end < 0) ROOT_SEGMENT else path.substring(0, end + 1)
        }
    }
}
