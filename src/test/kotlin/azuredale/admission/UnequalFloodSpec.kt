package azuredale.admission

import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random
import kotlin.test.assertTrue

/** Load pattern: several teams ask for far more than their share, each by another factor and at other routers. */
class UnequalFloodSpec {
    /** The users' bound on what a waiting team gets in six seconds, as a part of what the best served team got. */
    private val smallestPart = 0.5

    /** Halfway from the users' bound to equality, once the usage window holds nothing from before the flood. */
    private val smallestLaterPart = 0.75

    private fun anywhere(routers: Int): (Random) -> Int = { it.nextInt(routers) }

    private fun only(router: Int): (Random) -> Int = { router }

    private fun assertFair(fleet: FloodFleet, minimumUtilization: Double) {
        fleet.run(FLOOD_MILLISECONDS)
        val (part, who) = fleet.worstPart(from = FIRST_SECOND)
        val (laterPart, laterWho) = fleet.worstPart(from = FIRST_SECOND + USAGE_SECONDS)
        val used = fleet.utilization(FIRST_SECOND, fleet.second)
        assertTrue(part >= smallestPart, "$who gets $part; $used of the capacity is used")
        assertTrue(laterPart >= smallestLaterPart, "$laterWho gets $laterPart; $used of the capacity is used")
        assertTrue(used >= minimumUtilization, "$used of the capacity is used")
    }

    @Nested
    inner class Factors {
        @ParameterizedTest
        @CsvSource("8, 8", "8, 4", "40, 20", "95, 37")
        fun `two floods of different size get the same`(routers: Int, servers: Int) {
            // Guards against a team that gets most because it asks most.
            val capacity = servers * 200_000.0
            val small = List(10) { FloodTeam("small-$it", capacity * 0.02, 4_000, router = anywhere(routers)) }
            val floods =
                listOf(
                    FloodTeam("twice", capacity, 9_000, router = anywhere(routers)),
                    FloodTeam("six-times", capacity * 3, 9_000, router = anywhere(routers)),
                )
            assertFair(FloodFleet(routers, servers, small + floods), minimumUtilization = 0.85)
        }

        @ParameterizedTest
        @CsvSource("8, 8", "40, 20", "95, 37")
        fun `a flood at one router gets the same as one at all`(routers: Int, servers: Int) {
            // Guards against routers that compute shares from their own requests.
            val capacity = servers * 200_000.0
            val floods =
                listOf(
                    FloodTeam("at-one", capacity * 2, 9_000, router = only(3)),
                    FloodTeam("at-all", capacity * 2, 9_000, router = anywhere(routers)),
                    FloodTeam("at-two", capacity * 0.8, 9_000, router = { if (it.nextBoolean()) 1 else 6 }),
                )
            assertFair(FloodFleet(routers, servers, floods), minimumUtilization = 0.85)
        }
    }

    @Nested
    inner class Requests {
        @ParameterizedTest
        @CsvSource("8, 8", "40, 20")
        fun `large and small requests get the same tokens`(routers: Int, servers: Int) {
            // Guards against a team that falls behind because each of its requests is large.
            val capacity = servers * 200_000.0
            val floods =
                listOf(
                    FloodTeam("large", capacity, 24_000, router = anywhere(routers)),
                    FloodTeam("small", capacity * 2, 1_500, router = anywhere(routers)),
                )
            assertFair(FloodFleet(routers, servers, floods), minimumUtilization = 0.85)
        }

        @ParameterizedTest
        @CsvSource("8, 8", "40, 20")
        fun `a team that returns again and again gets no more`(routers: Int, servers: Int) {
            // Guards against a limit that is higher for retries, which serves those who retry most.
            val capacity = servers * 200_000.0
            val floods =
                listOf(
                    FloodTeam("returns", capacity * 2, 9_000, retries = 6, router = anywhere(routers)),
                    FloodTeam("leaves", capacity * 2, 9_000, retries = 0, router = anywhere(routers)),
                )
            assertFair(FloodFleet(routers, servers, floods), minimumUtilization = 0.85)
        }
    }

    private companion object {
        const val FLOOD_MILLISECONDS = 14_000

        /** Whole second in which the flood begins. */
        const val FIRST_SECOND = 3
        const val USAGE_SECONDS = 4
    }
}
