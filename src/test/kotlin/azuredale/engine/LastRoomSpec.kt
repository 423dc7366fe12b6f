package azuredale.engine

import azuredale.engine.MemoryPrompts.CAPACITY
import azuredale.engine.MemoryPrompts.chat
import azuredale.engine.MemoryPrompts.long
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.assertTrue

class LastRoomSpec {
    @Nested
    inner class TwoRoutersThatFillTheLastRoomAtTheSameTime {
        @ParameterizedTest
        @ValueSource(ints = [1, 2, 3, 4, 5])
        fun `stay within the memory between two exchanges`(seed: Int) {
            // Guards against servers that are overfilled because each router believes to be alone with the last room.
            println("seed $seed")
            val load = TwoRouters(Random(seed))
            load.run(milliseconds = 60_000)
            println(
                "sent ${load.sent}, refused ${load.refused}, overfilled ${load.overfilled}, highest ${load.highest}",
            )
            assertTrue(load.overfilled * 500 <= load.sent, "${load.overfilled} of ${load.sent} overfill a server")
            assertTrue(load.highest <= CAPACITY + 9_250, "${load.highest} tokens at a server of $CAPACITY")
            assertTrue(load.refused > 100, "only ${load.refused} refused: the load does not fill the servers")
            assertTrue(load.highest > CAPACITY * 8 / 10, "the margin leaves the servers empty: ${load.highest}")
            load.end()
            assertTrue(
                load.pair.all {
                    it.statistics.loads.localLoads
                        .isEmpty()
                },
            )
        }
    }

    @Nested
    inner class ManyRoutersThatFillTheLastRoom {
        @ParameterizedTest
        @CsvSource(
            "2, 3, 40, 0.8",
            "2, 3, 200, 0.6",
            "2, 3, 300, 0.55",
            "16, 8, 40, 0.75",
            "16, 8, 200, 0.5",
            "16, 8, 300, 0.45",
            "76, 24, 40, 0.75",
            "76, 24, 200, 0.5",
            "76, 24, 300, 0.45",
        )
        fun `fill it and rarely overfill a server`(routers: Int, servers: Int, reportAge: Int, used: Double) {
            // Guards against a margin that refuses what fits, and against one that the sum of all routers exceeds.
            val fleets =
                listOf(1 to 1_000, 2 to 1).map { (seed, sessions) ->
                    val fleet = RoomFleet(routers, servers, reportAge, seed, sessions).apply { run(MILLISECONDS) }
                    println(
                        "$routers routers, $servers servers, reports $reportAge ms, seed $seed, sessions $sessions: " +
                            "sent ${fleet.sent}, refused ${fleet.refused}, overfilled ${fleet.overfilled}, " +
                            "highest ${fleet.highest}, used ${fleet.utilization}",
                    )
                    fleet
                }
            assertTrue(fleets.sumOf { it.overfilled } * 500 <= fleets.sumOf { it.sent })
            assertTrue(fleets.all { it.utilization >= used })
        }
    }

    /** Two routers that report every 40 ms and send long prompts and chats at random, more than the servers hold. */
    private class TwoRouters(private val random: Random) {
        val pair = List(2) { MemoryRouter(servers = 3, routers = 2, random = random::nextDouble) }
        private val running = pair.associateWith { ArrayDeque<RunningPrompt>() }
        var sent = 0
        var refused = 0
        var overfilled = 0
        var highest = 0L

        fun run(milliseconds: Int) = repeat(milliseconds) { step ->
            if (step % 40 == 0) pair.forEach { router -> (pair - router).forEach { it.hear(router.report()) } }
            // A report is one millisecond old when it arrives.
            pair.forEach { it.now = it.now.plusMilliseconds(1) }
            running.forEach { (router, requests) ->
                if (random.nextInt(20) == 0) offer(router, requests)
                if (requests.isNotEmpty() && random.nextInt(70) == 0) {
                    router.end(requests.removeAt(random.nextInt(requests.size)))
                }
            }
        }

        private fun offer(router: MemoryRouter, requests: ArrayDeque<RunningPrompt>) {
            val request = router.send(if (random.nextBoolean()) long() else chat())
            if (request == null) {
                refused++
                return
            }
            requests += request
            sent++
            val total =
                pair.sumOf {
                    it.statistics.loads
                        .localLoad(request.server.id)
                        .committedTokens
                        .toLong()
                }
            highest = maxOf(highest, total)
            if (total > CAPACITY) overfilled++
        }

        fun end() = running.forEach { (router, requests) -> requests.forEach { router.end(it) } }
    }

    private companion object {
        const val MILLISECONDS = 10_000
    }
}
