package azuredale.configuration

import azuredale.identity.Revision
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class DocumentFleetSpec {
    /** No node may start work under a document that was superseded more than three seconds ago. */
    private fun DocumentFleet.assertNoSupersededWork(seed: Int) {
        val required = accepted.lastOrNull { it.first.plusSeconds(3) <= now }?.second ?: return
        nodes.filter { it.isRunning && controller(it).mayGiveOutWork(now) }.forEach { node ->
            val held = controller(node).document()?.revision ?: Revision.NONE
            assertTrue(held >= required, "seed $seed: ${node.id} works under $held at $now, but $required is required")
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12])
    fun `never works under a superseded document through partitions, outages, pauses and restarts`(seed: Int) {
        // Guards against work sent to a recalled server by any node that missed the recall.
        val random = Random(seed)
        val fleet = DocumentFleet(count = 8, seed)
        var isDown = false
        DocumentFixture.withoutLog {
            fleet.run(15_000)
            repeat(60) {
                val node = fleet.nodes.random(random)
                when (random.nextInt(8)) {
                    0 ->
                        random.nextInt(256).let { mask ->
                            fleet.side = { (mask shr it.name.takeLast(1).toInt()) and 1 }
                        }
                    1 -> fleet.side = { 0 }
                    2 -> isDown = !isDown
                    3 -> node.isRunning = false
                    4 -> fleet.nodes.forEach { it.isRunning = true }
                    5 ->
                        fleet.start(
                            node.id.name
                                .takeLast(1)
                                .toInt(),
                        )
                    else -> fleet.submit(node) { fleet.assertNoSupersededWork(seed) }
                }
                val servedSide = random.nextInt(3)
                fleet.reachesService = { !isDown && (servedSide == 2 || fleet.side(it) == servedSide) }
                fleet.run(random.nextLong(100, 4_000)) { fleet.assertNoSupersededWork(seed) }
            }
            fleet.side = { 0 }
            fleet.reachesService = { true }
            fleet.nodes.forEach { it.isRunning = true }
            fleet.run(15_000) { fleet.assertNoSupersededWork(seed) }
            fleet.nodes.forEach { node ->
                assertEquals(
                    fleet.accepted.lastOrNull()?.second,
                    fleet.controller(node).document()?.revision,
                    "seed $seed",
                )
                assertTrue(fleet.accepted.isEmpty() || fleet.controller(node).mayGiveOutWork(fleet.now), "seed $seed")
            }
        }
    }

    @Test
    fun `keeps a large fleet working through an outage and brings a change to every node`() {
        // Guards against calls to the service and delays that grow with the size of the fleet.
        val fleet = DocumentFleet(count = 100, seed = 5)
        DocumentFixture.withoutLog {
            fleet.run(40_000)
            assertTrue(fleet.submit(fleet.nodes.first()))
            fleet.run(3_000)
            fleet.reads = 0
            assertTrue(fleet.submit(fleet.nodes.last()))
            fleet.run(10_000) {
                fleet.assertNoSupersededWork(5)
                assertTrue(
                    fleet.nodes.all { fleet.controller(it).mayGiveOutWork(fleet.now) },
                    "stopped at ${fleet.now}",
                )
            }
            // Nine watchers read the service every half second. The other nodes request confirmations from them.
            assertTrue(fleet.reads in 90..200, "${fleet.reads} reads in 10 s with the service")
            fleet.reads = 0
            fleet.reachesService = { false }
            fleet.run(20_000) {
                assertTrue(
                    fleet.nodes.all { fleet.controller(it).mayGiveOutWork(fleet.now) },
                    "stopped at ${fleet.now}",
                )
            }
            assertTrue(fleet.reads in 40..600, "${fleet.reads} reads in 20 s of an outage")
        }
    }
}
