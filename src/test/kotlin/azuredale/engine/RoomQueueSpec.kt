package azuredale.engine

import azuredale.directory.ServerDirectory
import azuredale.engine.MemoryPrompts.chat
import azuredale.engine.MemoryPrompts.long
import azuredale.engine.MemoryPrompts.prompt
import azuredale.identity.TeamId
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class RoomQueueSpec {
    private val flood = TeamId("flood")
    private val small = TeamId("small")

    /** A router that has seen requests end, whose servers are full. */
    private fun busyRouter(servers: Int) = WaitingRouter(servers).apply {
        // Longer than the time over which the rate of freed memory is measured.
        repeat(300) {
            repeat(servers) { offer(long()) }
            run(20)
        }
        while (queue.size == 0) offer(long())
        requests.clear()
    }

    @Nested
    inner class ManyLongPromptsAtOnceOnFewServers {
        @Test
        fun `wait in the order of their arrival and start before they are late`() {
            // Guards against callers that are refused and come back later than room does.
            val router = busyRouter(servers = 2)
            repeat(100) { router.offer(long()) }
            router.run(2_000)
            val started = router.requests.filter { it.startedAt != null }
            assertTrue(started.size >= 48, "${started.size} of 100 started")
            assertEquals(started.sortedBy { it.startedAt }, started.sortedBy { it.arrivedAt })
            assertTrue(started.all { checkNotNull(it.waitedMilliseconds) <= 1_000 })
            assertEquals(0, router.queue.size)
        }

        @Test
        fun `are refused at once with the time of room if that is too late`() {
            val router = busyRouter(servers = 1)
            val refused = generateSequence { router.offer(long()) }.first { it.verdict != RoomVerdict.WAITS }
            assertEquals(RoomVerdict.TOO_LATE, refused.verdict)
            assertTrue(checkNotNull(refused.retryAt) > router.router.now.plusMilliseconds(1_000))
        }

        @Test
        fun `are refused at once by a router that has been restarted and knows nothing`() {
            // Guards against callers that wait for room of which nobody knows whether it comes.
            val router = WaitingRouter(servers = 1)
            val server = router.router.servers[0]
            router.router.hear(mapOf(server.idHash to ServerLoad(committedTokens = 224_000)))
            repeat(3) { assertEquals(RoomVerdict.TOO_LATE, router.offer(long()).verdict) }
        }
    }

    @Nested
    inner class ShortChatsBesideThem {
        @Test
        fun `wait behind long prompts that came before`() {
            // Guards against short prompts that take each free token from a long one that waits.
            val router = busyRouter(servers = 1)
            val first = router.offer(long())
            val chat = router.offer(chat())
            router.run(1_000)
            assertTrue(assertNotNull(first.startedAt) <= assertNotNull(chat.startedAt))
        }

        @ParameterizedTest
        @ValueSource(ints = [1, 2, 3])
        fun `and a prompt that nearly fills a server all get their turn`(seed: Int) {
            // Guards against a size that others overtake without end.
            println("seed $seed")
            val random = Random(seed)
            val router = WaitingRouter(servers = 2)
            val sizes = listOf(1_000, 9_200, 150_000)
            repeat(30_000) {
                if (random.nextInt(8) == 0) router.offer(prompt(sizes[random.nextInt(sizes.size)]))
                router.run(1)
            }
            val gaps =
                sizes.associateWith { size ->
                    router.requests
                        .filter { it.prompt.promptTokens == size }
                        .mapNotNull { it.startedAt }
                        .sorted()
                        .zipWithNext { from, to -> to.microsecondsSince(from) / 1_000 }
                        .max()
                }
            println("longest time between two starts in milliseconds $gaps")
            // Requests run for 500 ms; a size waits until those before it end, and others may have taken the room once.
            assertTrue(gaps.values.all { it <= 1_100 }, "$gaps")
        }
    }

    @Nested
    inner class OneTeamThatFloodsBesideASmallOne {
        @Test
        fun `leaves the small one its turn and a place in the queue`() {
            // Guards against a team whose requests wait behind all of a flooding one.
            val router = busyRouter(servers = 1)
            val few = ArrayList<WaitingRouter.Request>()
            repeat(4_000) { step ->
                repeat(2) { router.offer(chat(), flood) }
                if (step % 100 == 0) few += router.offer(long(), small)
                router.run(1)
            }
            val waits = few.take(30).map { it.waitedMilliseconds }
            println("waits of the small team in milliseconds $waits")
            assertTrue(waits.all { it != null && it <= 200 }, "$waits")
            assertTrue(router.requests.any { it.team == flood && it.verdict != RoomVerdict.WAITS })
        }

        @Test
        fun `is refused once its part of the queue is full`() {
            val queue = RoomQueue()
            val now = Timestamp.ofMilliseconds(1)
            val need = RoomNeed(RoomLane(MemoryPrompts.POOL, homes = null, isLarge = false), 1_000)
            while (queue.judge(flood, now, now) == RoomVerdict.WAITS) queue.add(RoomWaiter(need, flood, now, now) {})
            assertEquals(RoomQueue.MAXIMUM_WAITING / 2, queue.size)
            assertEquals(RoomVerdict.QUEUE_FULL, queue.judge(flood, now, now))
            assertEquals(RoomVerdict.WAITS, queue.judge(small, now, now))
        }
    }

    @Nested
    inner class TheServerWithTheLastRoom {
        @Test
        fun `that leaves while requests wait ends their wait`() {
            // Guards against callers that wait for a server that is gone.
            val router = busyRouter(servers = 1)
            val waiting = List(3) { router.offer(long()) }
            router.router.directory = ServerDirectory.EMPTY
            assertIs<ServerSelection.Unavailable>(router.router.select(long()))
            router.queue.notifyAll(RoomNotice.CHANGED)
            router.handle()
            assertTrue(waiting.all { it.endedBy == RoomNotice.CHANGED })
            assertEquals(0, router.queue.size)
        }
    }
}
