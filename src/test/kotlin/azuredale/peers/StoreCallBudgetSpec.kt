package azuredale.peers

import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: a fleet that starts at once, before its servers and its configuration, and then runs through changes. */
class StoreCallBudgetSpec {
    /** Store and routers that start within 1.5 s, while the servers register and the configuration is not there yet. */
    private class Start(routers: Int) {
        val fleet = SimulatedExchange.starting(routers, domains = 5)
        val store = SimulatedStore(fleet)

        fun run() {
            val starts = fleet.nodes.indices.groupBy { it * START_MILLISECONDS / fleet.nodes.size }
            repeat(BEFORE_TRAFFIC_MILLISECONDS) { millisecond ->
                starts[millisecond]?.forEach { store.start(fleet.nodes[it]) }
                if (millisecond % SERVER_MILLISECONDS == 0) {
                    fleet.servers.getOrNull(millisecond / SERVER_MILLISECONDS)?.let(store::put)
                }
                store.run(1)
            }
            store.writeCatalog()
            store.run(1_000)
        }
    }

    @Nested
    inner class Budget {
        @ParameterizedTest
        @ValueSource(ints = [76, 128])
        fun `a fleet without changes calls the store a few times a second, whatever its size`(routers: Int) {
            // Guards against a schedule in which every router confirms its tables itself.
            val start = Start(routers)
            start.run()
            assertEquals(emptyList(), start.store.outdated().map { it.router.name })
            assertTrue(start.fleet.nodes.all(start.store::hasCatalog))
            start.store.calls.clear()
            start.store.run(10_000)
            assertTrue(start.store.calls.values.sum() < 60, "${start.store.calls}")
        }
    }

    private companion object {
        const val START_MILLISECONDS = 1_500
        const val SERVER_MILLISECONDS = 80
        const val BEFORE_TRAFFIC_MILLISECONDS = 5_000
    }
}
