package azuredale.engine

import azuredale.catalog.BackendPool
import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.directory.ServerDirectory
import azuredale.gateway.FleetBounds
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.store.StorePoint
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Load pattern: a server has just started, idle and slow, and every router of the fleet would send to it at once. */
class ColdServersSpec {
    private val start = Timestamp.ofMilliseconds(1_000_000)
    private val bounds = FleetBounds(coldFactor = 1.5, coldAllowance = 5.0)
    private val limit =
        checkNotNull(ColdLimit.of(BackendPool(PoolId("p"), "/", 100, null, 10.0, warmUpMilliseconds = 60_000), bounds))
    private val server = server(isCold = true)

    private fun server(isCold: Boolean, startedAt: Long = 1) = BackendEntry(
        id = ServerId("server"),
        pool = PoolId("p"),
        address = NetworkAddress("10.0.0.1", 80),
        failureDomain = FailureDomain("a"),
        slots = 4,
        state = BackendState.READY,
        startedAtMilliseconds = startedAt,
        isCold = isCold,
    )

    private fun directory(entry: BackendEntry) = ServerDirectory(StorePoint.NONE, mapOf(entry.id to entry))

    /** One router that knows the routers named in [known]. */
    private inner class Router(
        val name: String,
        val known: MutableSet<String>,
        startedAt: Timestamp,
        onWarm: (ServerId) -> Unit = {},
    ) {
        val servers =
            ColdServers(
                ColdServerFleet(RouterId(name)) { known.filter { it != name }.map(::RouterId) },
                startedAt.plusMilliseconds(ColdServers.START_MILLISECONDS),
                { limit },
                onWarm,
            ).also { it.updateDirectory(directory(server), startedAt) }
    }

    /** Lets each router send whenever it may, for [milliseconds]; returns when requests arrived, in order. */
    private fun arrivals(routers: List<Router>, milliseconds: Long, event: (Long) -> Unit = {}): List<Long> {
        val random = Random(1)
        val arrivals = ArrayList<Long>()
        for (time in 0 until milliseconds step STEP_MILLISECONDS) {
            event(time)
            val now = start.plusMilliseconds(time)
            routers.forEach { router ->
                if (router.servers.allowsRequest(server, now)) {
                    router.servers.recordSent(server, now)
                    arrivals += time + random.nextLong(TRANSIT_MILLISECONDS)
                }
            }
        }
        return arrivals.sorted()
    }

    private fun worstSecond(arrivals: List<Long>): Int =
        arrivals.indices.maxOfOrNull { i -> arrivals.count { it >= arrivals[i] && it < arrivals[i] + 1_000 } } ?: 0

    private fun fleet(count: Int): List<Router> {
        val names = List(count) { "router-$it" }
        return names.map { Router(it, names.toMutableSet(), start.plusMilliseconds(-ColdServers.START_MILLISECONDS)) }
    }

    @Nested
    inner class Bound {
        @ParameterizedTest
        @ValueSource(ints = [1, 8, 30, 76, 128])
        fun `holds in any one second from the first moment on and is used`(routers: Int) {
            // Guards against a request of each router at the moment at which all learn of the server.
            val arrivals = arrivals(fleet(routers), milliseconds = 10_000)
            assertTrue(worstSecond(arrivals) <= BOUND, "${worstSecond(arrivals)} in a second")
            assertTrue(arrivals.size / 10.0 >= 10, "${arrivals.size} in ten seconds")
        }

        @ParameterizedTest
        @CsvSource("76, 3", "128, 3", "128, 6")
        fun `holds while some routers are unknown to some others`(routers: Int, lag: Int) {
            // Guards against permits that two routers hold while reports are late.
            val fleet = fleet(routers)
            fleet.forEachIndexed {
                index,
                router,
                ->
                repeat(lag) { router.known -= "router-${(index * 7 + it) % routers}" }
            }
            val arrivals = arrivals(fleet, milliseconds = 5_000)
            assertTrue(worstSecond(arrivals) <= BOUND, "${worstSecond(arrivals)} in a second")
        }

        @ParameterizedTest
        @ValueSource(ints = [76, 128])
        fun `holds while a third of the routers restart and know nobody`(routers: Int) {
            // Guards against routers that take the whole bound because they see no others yet.
            val fleet = fleet(routers)
            val restarted =
                List(routers / 3) { index ->
                    Router(
                        "router-$index",
                        mutableSetOf(),
                        start,
                    ).also { it.servers.updateDirectory(directory(server), start) }
                }
            val arrivals =
                arrivals(fleet.drop(routers / 3) + restarted, milliseconds = 12_000) { time ->
                    if (time == 4_000L) restarted.forEach { it.known += fleet.map(Router::name) }
                }
            assertTrue(worstSecond(arrivals) <= BOUND, "${worstSecond(arrivals)} in a second")
        }

        @Test
        fun `holds while routers join whom the others learn late`() {
            val names = List(90) { "router-$it" }
            val old = fleet(76)
            val new = names.drop(76).map { Router(it, names.toMutableSet(), start) }
            val arrivals =
                arrivals(old + new, milliseconds = 12_000) { time ->
                    if (time % 400 == 0L) old.getOrNull((time / 400).toInt() * 5)?.known?.addAll(names)
                    if (time == 5_000L) old.forEach { it.known += names }
                }
            assertTrue(worstSecond(arrivals) <= BOUND, "${worstSecond(arrivals)} in a second")
        }
    }

    @Nested
    inner class Coldness {
        private val warmed = ArrayList<ServerId>()
        private val router =
            Router("r", mutableSetOf(), start.plusMilliseconds(-ColdServers.START_MILLISECONDS)) { warmed += it }

        @Test
        fun `ends when the registration says so, and the speed is learned anew`() {
            assertEquals(1, router.servers.count(start))
            router.servers.updateDirectory(directory(server(isCold = false)), start)
            assertEquals(0, router.servers.count(start))
            assertEquals(listOf(server.id), warmed)
        }

        @Test
        fun `ends after the warm-up if no registration can tell`() {
            // Guards against an outage of the store that keeps servers at a few requests a second.
            val end = start.plusMilliseconds(2 * limit.warmUpMilliseconds - ColdServers.START_MILLISECONDS)
            repeat(100) { router.servers.recordSent(server, end.plusMilliseconds(-500)) }
            assertFalse(router.servers.allowsRequest(server, end.plusMilliseconds(-1)))
            assertTrue(router.servers.allowsRequest(server, end))
        }

        @Test
        fun `begins again with another process`() {
            val next = server(isCold = true, startedAt = 2)
            router.servers.updateDirectory(directory(next), start.plusMilliseconds(200_000))
            assertEquals(1, router.servers.count(start.plusMilliseconds(201_000)))
        }

        @Test
        fun `changes the digest of the directory, so that all routers learn of it`() {
            // Guards against routers that go on as if a server that turned cold were warm.
            assertTrue(directory(server).digest != directory(server(isCold = false)).digest)
        }
    }

    @Nested
    inner class Selection {
        private val warm = server(isCold = false).copy(id = ServerId("warm"), address = NetworkAddress("10.0.0.2", 80))
        private var directory = ServerDirectory(StorePoint.NONE, mapOf(server.id to server, warm.id to warm))
        private val statistics =
            ServerStatistics(
                coldServers = { onWarm ->
                    ColdServers(ColdServerFleet(RouterId("r")) { emptyList() }, start, { limit }, onWarm)
                },
                cacheTokens = { 0 },
            ).also { it.updateDirectory(directory, start) }
        private val selector = ServerSelector({ directory }, statistics)
        private val request =
            SelectionRequest(
                PoolId("p"),
                null,
                null,
                FailureDomain("a"),
                start.plusMilliseconds(500),
                start.plusMilliseconds(900),
            )

        @Test
        fun `leaves out a cold server that has got what it tolerates`() {
            repeat(BOUND) { statistics.coldServers?.recordSent(server, start) }
            assertEquals(Ineligibility.COLD, selector.eligibility.ineligibility(server, request, start))
            assertEquals(warm, assertIs<ServerSelection.Selected>(selector.select(request, start)).server)
            val excluding = request.copy(excluded = setOf(warm.id))
            assertEquals(ServerSelection.LimitsUsedUp, selector.select(excluding, start))
        }
    }

    private companion object {
        /** 10 a second that a cold server tolerates, times 1.5, and 5 more. */
        const val BOUND = 20
        const val STEP_MILLISECONDS = 5L
        const val TRANSIT_MILLISECONDS = 20L
    }
}
