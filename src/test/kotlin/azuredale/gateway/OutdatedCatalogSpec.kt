package azuredale.gateway

import azuredale.catalog.CallerLimits
import azuredale.catalog.Catalog
import azuredale.catalog.CatalogMark
import azuredale.catalog.CatalogTeam
import azuredale.catalog.Route
import azuredale.catalog.RouteKind
import azuredale.catalog.WeightedPool
import azuredale.freshness.StoreView
import azuredale.identity.PoolId
import azuredale.identity.TeamId
import azuredale.outcome.Outcome
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import azuredale.time.Timestamp
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals

/**
 * Load pattern: a router that is late, or cut off from the store, gets requests of a configuration that it has not read.
 *
 * Guards against 404 and 401 for routes and keys that were added longer ago than operators wait.
 */
class OutdatedCatalogSpec {
    private val provenAt = Timestamp.ofMilliseconds(1_000_000)

    private fun catalog(): Catalog {
        val pools = listOf(WeightedPool(PoolId("pool"), 1.0))
        val route = Route("route", "host", "/known/", RouteKind.IDEMPOTENT, pools, 1_000, 500)
        val team = CatalogTeam(TeamId("team"), setOf("key"))
        return Catalog(
            CatalogMark(StorePoint(StoreEra.NONE, 1), 1),
            listOf(route),
            emptyList(),
            listOf(team),
            CallerLimits(),
        )
    }

    private fun head(path: String, key: String) =
        RequestHead("id", "GET", path, "host", 1_000, key, null, null, emptyList())

    @ParameterizedTest
    @CsvSource(
        "3000, 3000, /other/, key, UNKNOWN_ROUTE",
        "3000, 3001, /other/, key, STALE_DOCUMENT",
        "3000, 3000, /known/, other, UNKNOWN_KEY",
        "3000, 3001, /known/, other, STALE_DOCUMENT",
        "3000, 3001, /known/, key, allowed",
        ", 4200, /other/, key, UNKNOWN_ROUTE",
        ", 4200, /known/, other, UNKNOWN_KEY",
    )
    fun `rules nothing out for good once changes may be due`(
        bound: Long?,
        age: Long,
        path: String,
        key: String,
        expected: String,
    ) {
        val view = StoreView(FleetBounds(configurationBoundMilliseconds = bound))
        view.adoptCatalog(catalog(), provenAt)
        val authorizer =
            RequestAuthorizer(
                catalog = view::catalog,
                isFresh = view::isCatalogFresh,
                isClosed = { false },
                isCurrent = view::isCatalogCurrent,
            )
        val outcome =
            when (val result = authorizer.authorize(head(path, key), provenAt.plusMilliseconds(age))) {
                is Outcome.Refused -> result.failure.kind.name
                is Outcome.Success -> "allowed"
            }
        assertEquals(expected, outcome)
    }
}
