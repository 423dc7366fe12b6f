package azuredale.gateway

import azuredale.catalog.CallerLimits
import azuredale.catalog.Catalog
import azuredale.catalog.CatalogMark
import azuredale.catalog.HomeRegions
import azuredale.catalog.Route
import azuredale.catalog.RouteKind
import azuredale.identity.FailureDomain
import azuredale.identity.Region
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals

/** Guards against answers that send callers of confined routes to routers in other regions. */
class HomeRoutersSpec {
    private val regions = listOf("north", "south", "west").associate { FailureDomain("$it-a") to Region(it) }

    private fun names(list: String?) = list.orEmpty().split(' ').filter { it.isNotEmpty() }

    private fun route(homes: String) = Route(
        name = "route",
        host = "host",
        pathPrefix = "/",
        kind = RouteKind.IDEMPOTENT,
        pools = emptyList(),
        timeoutMilliseconds = 1_000,
        targetMilliseconds = 500,
        homes = names(homes).mapTo(HashSet(), ::Region),
    )

    /** [homes] has one list for each route of the host. */
    @ParameterizedTest
    @CsvSource(
        "'', north-a, 'north-a south-a west-a'",
        "'south', north-a, 'north-a south-a'",
        "'south', unknown, 'south-a'",
        "'south,', north-a, 'north-a south-a'",
        "'south west,west', north-a, 'north-a west-a'",
        "'south,west', north-a, 'north-a'",
        "'south,west', unknown, 'north-a south-a west-a'",
        "'elsewhere', north-a, 'north-a south-a west-a'",
    )
    fun `routers in the caller's region and in the homes of all routes are named`(
        homes: String,
        domain: String,
        expected: String,
    ) {
        val limits = CallerLimits(1, 1, 1, 1)
        val catalog =
            Catalog(
                CatalogMark(StorePoint(StoreEra.NONE, 1), 1),
                homes.split(',').map(::route),
                emptyList(),
                emptyList(),
                limits,
            )
        val routers = HomeRouters(HomeRegions(regions.values.toSet()), { catalog }, regions::get)
        val named =
            routers.keep(
                routers = listOf("north-a", "south-a", "west-a"),
                caller = AddressCaller("10.0.0.1", "host", FailureDomain(domain)),
                domainOf = ::FailureDomain,
            )
        assertEquals(names(expected), named)
    }
}
