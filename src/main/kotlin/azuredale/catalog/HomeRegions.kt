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
        return listOf(route.homes, ofTeam)
            .map { it.intersect(known) }
            .filter { it.isNotEmpty() }
            .reduceOrNull { first, second -> first.intersect(second) }
    }
}
