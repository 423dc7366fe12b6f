package azuredale.catalog

import azuredale.identity.Region

/**
 * Computes the regions to which requests are confined.
 *
 * @param known the regions of all failure domains; a home outside of them confines nothing.
 */
internal class HomeRegions(private val known: Set<Region>) {
    /** The regions whose servers may get requests of [team] on [route], null if all may; none if the homes differ. */
    fun of(route: Route, team: CatalogTeam?): Set<Region>? {
        val ofTeam = team?.homes.orEmpty()
        if (route.homes.isEmpty() && ofTeam.isEmpty()) return null
        return common(listOf(route.homes, ofTeam))
    }

    /** The regions that all confined [routes] of one host name, null if none of them is confined. */
    fun ofHost(routes: List<Route>): Set<Region>? = common(routes.map { it.homes }.filter { it.isNotEmpty() })

    private fun common(homes: List<Set<Region>>): Set<Region>? = homes
        .map { it.intersect(known) }
        .filter { it.isNotEmpty() }
        .reduceOrNull { first, second -> first.intersect(second) }
}
