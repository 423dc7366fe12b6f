package azuredale.engine

import azuredale.directory.ServerDirectory
import azuredale.engine.MemoryPrompts.CAPACITY
import azuredale.engine.MemoryPrompts.chat
import azuredale.engine.MemoryPrompts.long
import azuredale.engine.MemoryPrompts.prompt
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class EngineMemorySpec {
    @Nested
    inner class ManyLongPromptsAtOnceOnFewServers {
        @Test
        fun `fill the servers and are then refused with a time to return`() {
            // Guards against servers that preempt or crash, because requests in all slots need 2.6 times their memory.
            val router = MemoryRouter(servers = 2)
            val sent = generateSequence { router.send(long()) }.take(200).toList()
            assertEquals(2 * 24, sent.size)
            assertNull(assertIs<ServerSelection.NoRoom>(router.select(long())).freeAt)
            sent.take(10).forEach(router::end)
            while (router.send(long()) != null) router.now = router.now.plusMilliseconds(1)
            assertTrue(checkNotNull(assertIs<ServerSelection.NoRoom>(router.select(long())).freeAt) > router.now)
        }

        @Test
        fun `that share a part take it once and free it with the last of them`() {
            val router = MemoryRouter(servers = 1)
            val sent = List(3) { checkNotNull(router.send(prompt(9_200, shared = 6_300))) }
            assertEquals(6_300L + 3 * 2_950, router.committed())
            sent.take(2).forEach(router::end)
            assertEquals(9_250, router.committed())
            router.end(sent.last())
            assertEquals(0, router.committed())
        }

        @Test
        fun `of several routers that share a part take it once`() {
            // Guards against a part that counts for each router, so that a fleet of many refuses what fits.
            val router = MemoryRouter(servers = 1, routers = 2)
            val server = router.servers[0]
            router.hear(mapOf(server.idHash to ServerLoad(committedTokens = 5 * 2_950)))
            repeat(5) { router.statistics.memory.recordReported(server, "part", 6_300, router.now) }
            router.send(prompt(9_200, shared = 6_300))
            assertEquals(6_300L + 6 * 2_950, router.committed())
            router.now = router.now.plusSeconds(5)
            assertEquals(6_300L + 2_950, router.committed())
        }

        @Test
        fun `of another router leave its shared part among those that are kept, and take room only for their own`() {
            // Guards against a part that counts as taken and as kept, so that others seem to yield too early.
            val router = MemoryRouter(servers = 1, routers = 2)
            val server = router.servers[0]
            router.hear(mapOf(server.idHash to ServerLoad(committedTokens = 5 * 2_950)))
            router.statistics.memory.recordReported(server, "part", 6_300, router.now)
            val forKeptParts = { router.statistics.memory.tokensForKeptParts(server, router.now) }
            assertEquals(CAPACITY - 5 * 2_950, forKeptParts())
            router.send(prompt(9_200, shared = 6_300))
            assertEquals(CAPACITY - 6 * 2_950 - 6_300, forKeptParts())
        }

        @Test
        fun `are refused for good if they are larger than a server`() {
            val router = MemoryRouter(servers = 2)
            assertIs<ServerSelection.TooLarge>(router.select(prompt(225_000)))
            assertIs<ServerSelection.Selected>(router.select(prompt(224_000, output = 10_000)))
        }

        @Test
        fun `may exceed the margins when a broken stream goes on elsewhere`() {
            val router = MemoryRouter(servers = 2)
            router.send(prompt(20_000))
            while (router.send(long()) != null) Unit
            val (other, broken) = router.servers.sortedBy { router.committed(it) }
            assertIs<ServerSelection.NoRoom>(router.select(prompt(3_000)))
            val repeated = router.select(prompt(3_000), excluded = setOf(broken.id))
            assertEquals(other.id, assertIs<ServerSelection.Selected>(repeated).server.id)
        }
    }

    @Nested
    inner class ShortChatsBesideThem {
        @Test
        fun `do not take the room that a long prompt waits for`() {
            // Guards against long prompts that are refused without end, because each free token goes to a short chat.
            val router = MemoryRouter(servers = 1)
            val running = ArrayDeque(generateSequence { router.send(long()) }.toList())
            assertNull(router.send(chat()), "a chat overtakes the long prompt")
            router.end(running.removeFirst())
            assertTrue(router.send(long()) != null)
        }

        @Test
        fun `fill the memory once nobody asks for more`() {
            val router = MemoryRouter(servers = 1)
            while (router.send(long()) != null) Unit
            router.now = router.now.plusSeconds(11)
            assertTrue(router.send(chat()) != null)
        }

        @ParameterizedTest
        @ValueSource(ints = [1, 2, 3])
        fun `and a prompt that nearly fills a server all get their turn`(seed: Int) {
            // Guards against a size that others overtake without end, and a huge prompt that closes a whole pool.
            println("seed $seed")
            val random = Random(seed)
            val router = MemoryRouter(servers = 2)
            val running = ArrayDeque<Pair<Timestamp, RunningPrompt>>()
            val sizes = listOf(1_000, 9_200, 150_000)
            val lastSentAt = sizes.associateWithTo(HashMap()) { router.now }
            val longestWait = HashMap<Int, Long>()
            val sent = HashMap<Int, Int>()
            repeat(60_000) {
                router.now = router.now.plusMilliseconds(1)
                while (running.isNotEmpty() &&
                    running.first().first <= router.now
                ) {
                    router.end(running.removeFirst().second)
                }
                val size = sizes[random.nextInt(sizes.size)]
                val request = router.send(prompt(size)) ?: return@repeat
                running += router.now.plusMilliseconds(500) to request
                val waited = router.now.microsecondsSince(lastSentAt.getValue(size)) / 1_000
                longestWait.merge(size, waited, ::maxOf)
                sent.merge(size, 1, Int::plus)
                lastSentAt[size] = router.now
            }
            println("sent $sent, longest wait in milliseconds $longestWait")
            // Requests run for 500 ms; a size waits until those before it end, and others may have taken the room once.
            assertTrue(sizes.all { longestWait.getValue(it) <= 1_100 }, "$longestWait")
        }
    }

    @Nested
    inner class SlotsThatBindFirst {
        @Test
        fun `leave the choice as it was`() {
            // Guards against refusals in deployments whose memory holds what their slots can run.
            val router = MemoryRouter(servers = 1, capacity = 1_000_000)
            repeat(200) { assertTrue(router.send(long()) != null) }
            val undeclared = MemoryRouter(servers = 1, capacity = 0)
            assertIs<ServerSelection.Selected>(undeclared.select(prompt(1_000_000)))
        }
    }

    @Nested
    inner class Reports {
        @Test
        fun `that are late or missing make a router more careful`() {
            val router = MemoryRouter(servers = 1, routers = 2)
            router.hear(emptyMap())
            repeat(10) { router.send(long()) }
            val load = mapOf(router.servers[0].idHash to ServerLoad(committedTokens = 90_000))
            router.hear(load)
            assertIs<ServerSelection.Selected>(router.select(long()))
            router.now = router.now.plusMilliseconds(900)
            assertIs<ServerSelection.NoRoom>(router.select(long()))
        }

        @Test
        fun `that claim too much count until they expire`() {
            val router = MemoryRouter(servers = 1, routers = 2)
            router.send(long())
            router.hear(mapOf(router.servers[0].idHash to ServerLoad(committedTokens = 10_000_000)))
            assertIs<ServerSelection.NoRoom>(router.select(chat()))
            router.now = router.now.plusMilliseconds(1_001)
            router.hear(emptyMap())
            assertIs<ServerSelection.Selected>(router.select(chat()))
        }

        @Test
        fun `tell a restarted router what it does not know`() {
            val before = MemoryRouter(servers = 1, routers = 2)
            before.hear(emptyMap())
            while (before.send(long()) != null) Unit
            val restarted = MemoryRouter(servers = 1, routers = 2)
            restarted.hear(before.report())
            repeat(5) { assertIs<ServerSelection.NoRoom>(restarted.select(long())) }
        }
    }

    @Nested
    inner class Output {
        @Test
        fun `beyond what was set aside counts up to the declared maximum`() {
            val router = MemoryRouter(servers = 1)
            repeat(OutputLengths.STREAMS) {
                val running = checkNotNull(router.send(prompt(1_000, output = 400)))
                running.claim.recordOutput(20 + it % 30)
                router.end(running)
            }
            val running = checkNotNull(router.send(prompt(1_000, output = 400)))
            assertEquals(1_049, router.committed())
            running.claim.recordOutput(50)
            assertEquals(1_400, router.committed())
            router.end(running, isComplete = false)
            assertEquals(0, router.committed())
        }

        @ParameterizedTest
        @ValueSource(ints = [1, 2, 3])
        fun `outgrows its claim in no more than one stream of 500`(seed: Int) {
            println("seed $seed")
            val random = Random(seed)
            val lengths = OutputLengths()
            var outgrown = 0
            repeat(100_000) {
                val tokens = (50 / (1 - random.nextDouble())).coerceAtMost(100_000.0).toInt()
                if (tokens > lengths.claim(100_000)) outgrown++
                lengths.record(tokens)
            }
            assertTrue(outgrown in 100..260, "$outgrown of 100,000")
        }
    }

    @Nested
    inner class ServerProcesses {
        @Test
        fun `that end with more than their memory are told from others, and successors start empty`() {
            val router = MemoryRouter(servers = 1)
            val running = generateSequence { router.send(long()) }.toList()
            assertFalse(router.statistics.memory.wasExceeded(router.servers[0], router.now))
            router.hear(mapOf(router.servers[0].idHash to ServerLoad(committedTokens = 9_000)))
            router.now = router.now.plusMilliseconds(500)
            assertTrue(router.statistics.memory.wasExceeded(router.servers[0], router.now))
            val successor = router.server(0, startedAt = 2)
            router.directory = ServerDirectory(StorePoint(StoreEra.NONE, 2), mapOf(successor.id to successor))
            router.hear(emptyMap())
            router.statistics.updateDirectory(router.directory, router.now)
            assertEquals(0, router.committed())
            val next = checkNotNull(router.send(long()))
            running.forEach(router::end)
            assertEquals(9_250, router.committed())
            router.end(next)
            assertEquals(0, router.committed())
        }
    }
}
