package azuredale.sharing

import azuredale.identity.TeamId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RandomFaultsSpec {
    /** Injects random crashes, restarts, pauses, partitions and membership errors, then recovers from all of them. */
    private class FaultScenario(seed: Int) {
        private val random = Random(seed)
        private val servers = List(6) { testServer("s$it", 2) }
        private val shards = random.nextInt(1, 4)
        val fleet = SharingFleet(testDocument(mapOf("a" to 1.0, "b" to 3.0), servers, shards), routerCount = 5)
        private var partitioned = emptySet<SharingFleet.Router>()

        fun run() {
            fleet.run(1_000)
            repeat(40) {
                fault()
                repeat(random.nextInt(1, 40)) { submit() }
                fleet.run(random.nextLong(50, 1_500))
            }
            restore()
        }

        private fun submit() {
            val team = TeamId(listOf("a", "b").random(random))
            val router = fleet.routers.filter { it.isRunning }.randomOrNull(random) ?: return
            router.submit(SharingFleet.Work(team, random.nextDouble(1.0, 50.0)))
        }

        private fun fault() {
            val router = fleet.routers.random(random)
            val peers = fleet.routers.filter { it !== router && it.isRunning }
            when (random.nextInt(6)) {
                0 -> if (router.isRunning) fleet.crash(router) else fleet.restart(router)
                1 -> if (router.isRunning || router.isPaused) fleet.setPaused(router, router.isRunning)
                2 -> partitioned = fleet.routers.filter { random.nextBoolean() }.toSet()
                3 -> partitioned = emptySet()
                4 -> if (router.isRunning) fleet.setMembers(router, router.members.filter { random.nextInt(4) > 0 })
                else -> if (router.isRunning) peers.forEach { if (random.nextBoolean()) fleet.disconnect(router, it) }
            }
            val partitionedIds = partitioned.map { it.id }.toSet()
            fleet.isPartitioned = { from, to -> (from in partitionedIds) != (to in partitionedIds) }
        }

        private fun restore() {
            partitioned = emptySet()
            fleet.isPartitioned = { _, _ -> false }
            fleet.routers.filter { !it.isRunning }.forEach { router ->
                if (router.isPaused) fleet.setPaused(router, false) else fleet.restart(router)
            }
            val members = fleet.routers.map { testMember(it.id, it.incarnation) }
            fleet.routers.forEach { fleet.setMembers(it, members) }
            fleet.routers.forEach { one ->
                fleet.routers.forEach { other ->
                    if (one !==
                        other
                    ) {
                        fleet.connect(one, other)
                    }
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16])
    fun `leave no request waiting and no slot in use once they end`(seed: Int) {
        // Guards against state that leaks when several faults coincide.
        val scenario = FaultScenario(seed)
        scenario.run()
        scenario.fleet.run(60_000)
        val shards = scenario.fleet.routers.flatMap { it.allotter.snapshot().shards }
        assertTrue(shards.all { it.isPrimary }, "seed $seed: secondary allotters remain: ${shards.map { it.shard }}")
        assertEquals(emptyList(), shards.flatMap { it.grants }, "seed $seed: grants remain")
        assertEquals(
            0,
            scenario.fleet.routers.sumOf { it.requester.waitingCount },
            "seed $seed: requests still waiting",
        )
        assertEquals(0, scenario.fleet.routers.sumOf { it.requester.runningCount }, "seed $seed: grants still in use")
    }
}
