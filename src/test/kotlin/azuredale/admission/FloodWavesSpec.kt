package azuredale.admission

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.math.pow
import kotlin.random.Random
import kotlin.test.assertTrue

/** Load pattern: teams begin and end their floods in waves, and servers are lost as the largest wave begins. */
class FloodWavesSpec {
    /** The users' bound on what a waiting team gets in six seconds, as a part of what the best served team got. */
    private val smallestPart = 0.5

    @ParameterizedTest
    @CsvSource(
        "83, 37, 1",
        "83, 37, 2",
        "83, 37, 3",
        "83, 37, 4",
        "83, 37, 5",
        "40, 20, 6",
        "40, 20, 7",
        "8, 8, 8",
        "8, 8, 9",
    )
    fun `teams get alike while floods begin and end`(routers: Int, servers: Int, seed: Int) {
        // Guards against shares that follow the demand of seconds ago, so that a new flood gets several times its share
        // and a team that flooded before gets next to nothing.
        val fleet =
            FloodFleet(
                routers = routers,
                servers = servers,
                teams = teams(routers, servers * TOKENS_PER_SECOND, Random(seed)),
                seed = seed,
                running = { second -> if (second in LOSS) servers * 3 / 4 else servers },
                noticeableMilliseconds = 150.0,
            )
        fleet.run(PLAY_MILLISECONDS)
        val (part, who) = fleet.worstPart(from = FIRST_SECOND)
        val used = fleet.utilization(FIRST_FLOOD, LAST_FLOOD)
        assertTrue(part >= smallestPart, "$who gets $part; $used of the capacity is used")
        assertTrue(used >= 0.85, "$used of the capacity is used")
    }

    /** Teams of uneven size that ask for half of [capacity] while none floods; every second one keeps to few routers. */
    private fun teams(routers: Int, capacity: Double, random: Random): List<FloodTeam> {
        val sizes = List(TEAMS) { (it + 1.0).pow(-0.8) }
        val order = sizes.indices.shuffled(random)
        return sizes.mapIndexed { index, size ->
            val own = List(1 + index % 4) { random.nextInt(routers) }
            FloodTeam(
                name = "team-$index",
                tokensPerSecond = capacity * CALM_PART * size / sizes.sum(),
                requestTokens = REQUEST_TOKENS[index % REQUEST_TOKENS.size],
                factor = { second -> factor(order.indexOf(index), second) },
                router = { if (index % 2 == 0) own[it.nextInt(own.size)] else it.nextInt(routers) },
            )
        }
    }

    private fun factor(order: Int, second: Int): Double = when {
        order < 7 && second in 6 until 14 -> 10.4
        order in 7 until 10 && second in 12 until 18 -> 3.25
        order in 10 until 24 && second in 16 until LAST_FLOOD -> 10.0
        order in 24 until 26 && second in 14 until 19 -> 0.05
        else -> 1.0
    }

    private companion object {
        const val TEAMS = 30
        const val CALM_PART = 0.5
        val REQUEST_TOKENS = listOf(9_000, 4_000, 12_000)

        /** Of one server; half of each prompt is cached. */
        const val TOKENS_PER_SECOND = 200_000.0
        const val PLAY_MILLISECONDS = 24_000

        /** Whole seconds. */
        const val FIRST_SECOND = 3
        const val FIRST_FLOOD = 6
        const val LAST_FLOOD = 24
        val LOSS = 16 until 18
    }
}
