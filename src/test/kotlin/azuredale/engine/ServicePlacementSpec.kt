package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.engine.ServiceFleet.Companion.POOL
import azuredale.engine.ServiceFleet.Companion.SERVERS
import azuredale.identity.FailureDomain
import azuredale.identity.RouterId
import azuredale.store.StorePoint
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Load patterns: callers crowd one failure domain; a plain service is slower than others; servers that may not be used. */
class ServicePlacementSpec {
    private val now = ServiceFleet.at(0)

    /** The choice without expected times: the least part of the slots in use. */
    private val byUsedSlots: ServiceChoice = { _, statistics, request, at ->
        SERVERS.minBy {
            statistics.loads.load(it.id, it.idHash, at).running / 6.0 +
                if (it.failureDomain == request.origin) 0.0 else 0.1
        }
    }
    private val byExpectedTime: ServiceChoice = { placement, _, request, at ->
        checkNotNull(placement.select(request, SERVERS, at)).server
    }

    private fun late(requestsPerSecond: Double, share: Double, slowness: (Int, Long) -> Double = { _, _ -> 1.0 }) =
        listOf(byUsedSlots, byExpectedTime).map { choose ->
            (1..3).map { ServiceFleet(choose, it, slowness).run(10, requestsPerSecond, share).lateFraction() }.average()
        }

    private fun statistics(random: Int = 1, vararg milliseconds: Double) =
        ServerStatistics(random = Random(random)::nextDouble) { 0 }.also { statistics ->
            SERVERS.zip(milliseconds.toList()) { server, time ->
                repeat(40) { statistics.serviceTimes(POOL).record(server.id, time, now) }
            }
        }

    @Nested
    inner class Load {
        @Test
        fun `of a failure domain that is crowded makes far fewer callers late`() {
            // Guards against reports that are 300 ms old, by which all routers take the same server.
            assertFewerLate(late(requestsPerSecond = 600.0, share = 0.8), before = 0.4, most = 0.5)
        }

        @Test
        fun `on servers that are slow for 600 ms in turn makes fewer callers late`() {
            val slowness = { server: Int, at: Long -> if (at / 600 % SERVERS.size == server.toLong()) 2.5 else 1.0 }
            assertFewerLate(late(450.0, share = 0.34, slowness), before = 0.4, most = 0.75)
        }

        @Test
        fun `on servers of three speeds makes far fewer callers late`() {
            val slowness = { server: Int, _: Long -> listOf(1.6, 1.0, 0.6)[server] }
            assertFewerLate(late(600.0, share = 0.34, slowness), before = 0.4, most = 0.5)
        }

        @Test
        fun `that equal servers just bear makes hardly any caller late`() {
            assertFewerLate(late(450.0, share = 0.34), before = 0.05, most = 0.2)
        }

        private fun assertFewerLate(late: List<Double>, before: Double, most: Double) {
            assertTrue(late[0] > before, "the load is too light to tell: $late")
            assertTrue(late[1] < late[0] * most, "late by used slots, and by expected time: $late")
        }
    }

    @Nested
    inner class Choice {
        @Test
        fun `among equal servers with free slots is as it was without expected times`() {
            val random = Random(1)
            repeat(500) {
                val statistics = statistics(it, 20.0, 22.0, 18.0)
                SERVERS.forEach { server -> statistics.loads.add(server.id, ServerLoad(running = random.nextInt(6))) }
                val request = ServiceFleet.request(it % 3, now)
                val placement = ServicePlacement(statistics)
                val expected = byUsedSlots(placement, statistics, request, now)
                assertEquals(expected, byExpectedTime(placement, statistics, request, now))
            }
        }

        @Test
        fun `of many routers at once leaves a full server without a herd onto the next one`() {
            val chosen =
                List(300) {
                    val statistics = statistics(it, 20.0, 20.0, 20.0)
                    listOf(12, 2, 3).zip(SERVERS) { running, server ->
                        statistics.loads.add(server.id, ServerLoad(running = running))
                    }
                    byExpectedTime(ServicePlacement(statistics), statistics, ServiceFleet.request(0, now), now)
                }.groupingBy { it }.eachCount()
            assertTrue((chosen[SERVERS[0]] ?: 0) < 30, "$chosen")
            assertTrue(SERVERS.drop(1).all { (chosen[it] ?: 0) > 90 }, "$chosen")
        }
    }

    @Nested
    inner class States {
        private val evacuated = HashSet<FailureDomain>()
        private val directory =
            ServerDirectory(
                StorePoint.NONE,
                SERVERS.associate {
                    it.id to
                        it.copy(isCold = it == SERVERS[0])
                },
            )
        private val statistics =
            ServerStatistics(
                coldServers = { onWarm ->
                    ColdServers(
                        ColdServerFleet(RouterId("router")) { emptyList() },
                        now,
                        { ColdLimit(requestsPerSecond = 0, warmUpMilliseconds = 3_000) },
                        onWarm,
                    )
                },
                cacheTokens = { 0 },
            ).also { it.updateDirectory(directory, now) }
        private val selector = ServerSelector({ directory }, statistics, evacuated::contains)

        private fun entry(index: Int): BackendEntry = directory.entries.getValue(SERVERS[index].id)

        @ParameterizedTest
        @CsvSource(
            // evacuated, limited, running at the third server, left, expected server or none
            "false, false, 0, 600, server-1",
            "true, false, 0, 600, server-2",
            "false, true, 0, 600, server-2",
            "true, true, 0, 600, server-2",
            "true, true, 100, 600, server-2",
            "true, true, 200, 600, ",
            "true, true, 0, 10, ",
            "false, true, 200, 600, ",
        )
        fun `of cold, evacuated, limited and slow servers leave an answer in time or none at once`(
            isEvacuated: Boolean,
            isLimited: Boolean,
            running: Int,
            left: Long,
            expected: String?,
        ) {
            repeat(40) { statistics.serviceTimes(POOL).record(SERVERS[2].id, 20.0, now) }
            if (isEvacuated) evacuated += SERVERS[1].failureDomain
            if (isLimited) statistics.limits.recordAnswer(entry(1), requestsPerSecond = 0.0, now)
            statistics.loads.add(SERVERS[2].id, ServerLoad(running = running))
            val request = ServiceFleet.request(1, now).copy(deadline = now.plusMilliseconds(left))
            val selection = selector.select(request, now) as? ServerSelection.Selected
            val answered = selection?.takeIf { selector.services.canAnswer(it, request.deadline, now) }
            assertEquals(expected, answered?.server?.id?.name)
        }

        @Test
        fun `of one remaining server that is evacuated leave no server`() {
            evacuated += SERVERS.map { it.failureDomain }
            assertFalse(selector.select(ServiceFleet.request(1, now), now) is ServerSelection.Selected)
        }
    }
}
