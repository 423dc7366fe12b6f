package azuredale.engine

import azuredale.catalog.CatalogTeam
import azuredale.catalog.HomeRegions
import azuredale.catalog.Route
import azuredale.catalog.RouteKind
import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.directory.ServerDirectory
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.store.StorePoint
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Load pattern: requests that may be served in some regions only, while the servers of others are idle. */
class HomeRegionsSpec {
    private val now = Timestamp.ofMilliseconds(1_000_000)

    private fun regions(names: String?) = names
        .orEmpty()
        .split(' ')
        .filter { it.isNotEmpty() }
        .mapTo(HashSet(), ::Region)

    @Nested
    inner class Homes {
        @ParameterizedTest
        @CsvSource(
            "'', '', ",
            "'north', '', 'north'",
            "'', 'south', 'south'",
            "'north south', 'south', 'south'",
            "'north', 'south', ''",
            "'elsewhere', '', ",
            "'elsewhere', 'south', 'south'",
            "'north elsewhere', '', 'north'",
        )
        fun `of route and team bind together, unknown regions do not`(route: String, team: String, expected: String?) {
            val homes =
                HomeRegions(regions("north south")).of(
                    Route("r", "h", "/", RouteKind.STREAMING, emptyList(), 1_000, 500, homes = regions(route)),
                    CatalogTeam(TeamId("t"), emptySet(), homes = regions(team)),
                )
            assertEquals(expected?.let(::regions), homes)
        }
    }

    @Nested
    inner class Servers {
        private val servers =
            listOf("north-a", "south-a", "unknown").map { domain ->
                BackendEntry(
                    id = ServerId("server-$domain"),
                    pool = PoolId("pool"),
                    address = NetworkAddress("10.0.0.1", 80),
                    failureDomain = FailureDomain(domain),
                    slots = 4,
                    state = BackendState.READY,
                )
            }
        private val regionOf =
            mapOf(
                FailureDomain("north-a") to Region("north"),
                FailureDomain("south-a") to Region("south"),
            )
        private val directory = ServerDirectory(StorePoint.NONE, servers.associateBy { it.id })
        private val statistics = ServerStatistics(cacheTokens = { 0 })
        private val selector = ServerSelector({ directory }, statistics, regionOf = regionOf::get)

        private fun request(homes: Set<Region>?, tried: Set<ServerId> = emptySet()) = SelectionRequest(
            pool = PoolId("pool"),
            team = null,
            prompt = null,
            origin = FailureDomain("north-a"),
            onTimeUntil = now.plusMilliseconds(500),
            deadline = now.plusMilliseconds(2_000),
            excluded = tried,
            homes = homes,
        )

        @Test
        fun `outside the homes get no requests, although they are idle and near`() {
            // Guards against a router that prefers a server of its own failure domain.
            statistics.loads.add(servers[1].id, ServerLoad(running = 40))
            val selection = selector.select(request(regions("south")), now)
            assertEquals(servers[1], assertIs<ServerSelection.Selected>(selection).server)
        }

        @Test
        fun `outside the homes get no retries`() {
            // Guards against a retry that leaves the homes because nothing else is left.
            val retry = request(regions("south"), setOf(servers[1].id))
            assertIs<ServerSelection.Unavailable>(selector.select(retry, now))
            assertIs<ServerSelection.Unavailable>(selector.select(request(emptySet()), now))
            val reasons = servers.map { selector.eligibility.ineligibility(it, retry, now) }
            assertEquals(
                listOf(Ineligibility.OUTSIDE_HOMES, Ineligibility.ALREADY_TRIED, Ineligibility.OUTSIDE_HOMES),
                reasons,
            )
        }

        @Test
        fun `all get requests without homes`() {
            servers.forEach { assertEquals(null, selector.eligibility.ineligibility(it, request(null), now)) }
        }
    }
}
