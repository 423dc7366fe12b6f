package azuredale.freshness

import azuredale.standin.StoreCopy
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.test.assertEquals

/**
 * Series of overlapping events: the store is away, returns from copies, routers are killed, stand still or are cut off, and
 * the operator writes on.
 *
 * `mvn test -Dtest=DrillSeriesSpec -Ddrills=50` plays the seeds 1 to 50.
 */
class DrillSeriesSpec {
    /** One series of events on [fleet]. */
    private class Series(
        private val fleet: RestoredStoreFleet,
        private val random: Random,
    ) {
        private val copies = ArrayDeque<StoreCopy>()
        private var step = 0
        private var returnsAt: Int? = null
        private var writesAgainAt: Int? = null
        private var restartsAt: Int? = null
        private val resumesAt = HashMap<RestoredStoreFleet.Node, Int>()
        private var nextKey = 0
        private var keys = listOf("first")

        fun play(steps: Int) {
            write()
            fleet.run(START_MILLISECONDS)
            repeat(steps) {
                advance()
                if (random.nextInt(EVENT_STEPS) == 0) event()
            }
            repeat(HEALING_STEPS) { advance() }
        }

        private fun advance() {
            fleet.run(STEP_MILLISECONDS)
            step++
            if (step % COPY_STEPS == 0 && !fleet.isAway) keepCopy()
            if (returnsAt?.let { step >= it } == true) {
                fleet.isAway = false
                returnsAt = null
            }
            if (restartsAt?.let { step >= it } == true) {
                fleet.restart(fleet.nodes.indices)
                restartsAt = null
            }
            if (writesAgainAt?.let { step >= it && !fleet.isAway } == true) {
                fleet.writeNewest()
                writesAgainAt = null
            }
            resumesAt.filterValues { step >= it }.keys.toList().forEach {
                it.isPaused = false
                it.isCut = false
                resumesAt -= it
            }
        }

        private fun keepCopy() {
            copies.addLast(fleet.copy())
            if (copies.size > KEPT_COPIES) copies.removeFirst()
        }

        private fun event() {
            when (random.nextInt(8)) {
                0, 1 -> drill()
                2, 3 -> if (!fleet.isAway) write()
                4 -> away()
                5 -> fleet.restart(fleet.nodes.indices.filter { random.nextBoolean() })
                6 -> disturb { it.isPaused = true }
                else -> disturb { it.isCut = true }
            }
        }

        private fun write() {
            val added = "key-${nextKey++}"
            keys = (keys + added).filter { it == added || random.nextInt(3) > 0 }
            fleet.writeVersion(*keys.toTypedArray())
            writesAgainAt = null
        }

        private fun away() {
            fleet.isAway = true
            returnsAt = step + 2 + random.nextInt(AWAY_STEPS)
        }

        private fun drill() {
            if (copies.isEmpty()) return
            fleet.storage.restore(copies.random(random))
            away()
            val returnedAt = checkNotNull(returnsAt)
            writesAgainAt = returnedAt + random.nextInt(WRITTEN_AGAIN_STEPS)
            if (random.nextBoolean()) restartsAt = returnedAt + random.nextInt(-AWAY_STEPS, WRITTEN_AGAIN_STEPS)
        }

        private fun disturb(action: (RestoredStoreFleet.Node) -> Unit) {
            val node = fleet.nodes.random(random)
            action(node)
            resumesAt[node] = step + 2 + random.nextInt(DISTURBED_STEPS)
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `break no bound on revocations, and leave no router behind`(seed: Int) {
        // Guards against a router that takes the copy, or a peer's report of an earlier era, for the newest state.
        val fleet = RestoredStoreFleet(ROUTERS, seed)
        Series(fleet, Random(seed)).play(STEPS)
        assertEquals(emptySet(), fleet.violations)
        assertEquals(emptyList(), fleet.behind().map { "router ${it.index}, version ${it.view.catalog?.version}" })
    }

    private companion object {
        const val ROUTERS = 5
        const val STEPS = 400
        const val STEP_MILLISECONDS = 100
        const val START_MILLISECONDS = 4_000

        /** An event comes about every second. */
        const val EVENT_STEPS = 10

        /** The store is copied every second; copies of the last eight seconds are kept. */
        const val COPY_STEPS = 10
        const val KEPT_COPIES = 8
        const val AWAY_STEPS = 20
        const val WRITTEN_AGAIN_STEPS = 20
        const val DISTURBED_STEPS = 40

        /** Time in which every router must have the newest configuration after the last event. */
        const val HEALING_STEPS = 140

        @JvmStatic
        fun seeds() = (1..Integer.getInteger("drills", 3)).toList()
    }
}
