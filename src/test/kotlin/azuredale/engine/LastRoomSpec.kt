package azuredale.engine

import azuredale.engine.MemoryPrompts.CAPACITY
import azuredale.engine.MemoryPrompts.chat
import azuredale.engine.MemoryPrompts.long
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
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

    /** Two routers that report every 40 ms and send long prompts and chats at random, more than the servers hold. */
    private class TwoRouters(private val random: Random) {
        val pair = List(2) { MemoryRouter(servers = 3, routers = 2) }
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
}
