package azuredale.intake

import azuredale.time.Timestamp
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Load pattern: requests arrive at one router faster than it can start them. */
class OverloadedRouterSpec {
    private val start = Timestamp.ofMilliseconds(1_000_000)

    private fun request(group: String, arrivedAt: Timestamp = start, cost: Double = 1.0) =
        WaitingRequest(group, arrivedAt, startBy = arrivedAt.plusMilliseconds(1_000), cost)

    @Nested
    inner class Order {
        private val queue = IntakeQueue()

        @Test
        fun `a router that keeps up serves in order of arrival`() {
            // Guards against a request that is overtaken for no reason.
            val first = request("a")
            val second = request("a", start.plusMilliseconds(10))
            listOf(first, second).forEach(queue::add)
            assertEquals(listOf(first, second), List(2) { queue.next(start.plusMilliseconds(20)) })
        }

        @Test
        fun `a flood with one key does not delay a request with another key`() {
            // Guards against callers of all teams that wait behind the flood of one team.
            repeat(200) { queue.add(request("flood")) }
            val other = request("other")
            queue.add(other)
            val served = List(2) { queue.next(start.plusMilliseconds(20)) }
            assertTrue(other in served)
        }

        @Test
        fun `groups get the same part of the time whatever their requests cost`() {
            // Guards against a key with long streams that gets several times the time of the others, by the same count.
            repeat(100) {
                queue.add(request("long", cost = 8.0))
                queue.add(request("short", cost = 1.0))
                queue.add(request("middle", cost = 2.0))
            }
            val served = List(110) { checkNotNull(queue.next(start)) }
            val costs = served.groupBy { it.group }.mapValues { (_, requests) -> requests.sumOf { it.cost } }
            assertEquals(setOf("long", "short", "middle"), costs.keys)
            assertTrue(costs.values.max() - costs.values.min() <= 8.0, "$costs")
        }

        @Test
        fun `a group that leaves the queue and comes back gains nothing`() {
            // Guards against a caller that sends one costly request after the other and is always first.
            repeat(100) { queue.add(request("short")) }
            val served =
                List(40) {
                    if (it % 4 == 0) queue.add(request("single", cost = 8.0))
                    checkNotNull(queue.next(start)).group
                }
            assertTrue(served.count { it == "single" } <= 5, "$served")
        }

        @Test
        fun `a router that is behind serves the newest request first`() {
            // Guards against a router that serves only requests that are late already.
            repeat(50) { queue.add(request("a", start.plusMilliseconds(it * 10L))) }
            val newest = request("a", start.plusMilliseconds(500))
            queue.add(newest)
            assertEquals(newest, queue.next(start.plusMilliseconds(500)))
        }

        @Test
        fun `a full queue gives up the oldest request of the group with most requests`() {
            // Guards against memory that grows with a flood, and against a flood that pushes out other teams.
            val small = request("small")
            queue.add(small)
            val oldest = request("flood")
            queue.add(oldest)
            val evicted = List(600) { queue.add(request("flood", start.plusMilliseconds(it + 1L))) }.filterNotNull()
            assertEquals(oldest, evicted.first())
            assertTrue(small !in evicted)
            assertEquals(512, queue.size)
        }

        @Test
        fun `a request that can no longer start in time is given up`() {
            // Guards against requests that are held until their callers' deadlines.
            val late = request("a")
            queue.add(late)
            assertEquals(emptyList(), queue.removeOverdue(start.plusMilliseconds(999)))
            assertEquals(listOf(late), queue.removeOverdue(start.plusMilliseconds(1_000)))
            assertNull(queue.next(start.plusMilliseconds(1_000)))
        }
    }

    @Nested
    inner class Turns {
        private var now = start
        private val timers = ArrayDeque<() -> Unit>()
        private val intake = Intake({ now }) { _, action -> timers += action }
        private val decisions = HashMap<WaitingRequest, IntakeDecision>()

        private fun arrive(request: WaitingRequest, costMilliseconds: Long = 0) {
            CoroutineScope(Dispatchers.Unconfined).launch(start = CoroutineStart.UNDISPATCHED) {
                decisions[request] = intake.awaitTurn(request)
                now = now.plusMilliseconds(costMilliseconds)
            }
        }

        @Test
        fun `a request whose caller left before the sockets were read again does not start`() {
            // Guards against work at a server for a caller whose disconnect was waiting to be read.
            val request = request("a")
            arrive(request)
            assertNull(decisions[request])
            intake.callerGone(request)
            timers.removeFirst()()
            assertEquals(IntakeDecision.CALLER_GONE, decisions[request])
        }

        @Test
        fun `a timer that runs in the same round as the reading starts nothing`() {
            // Guards against requests of callers that left, in a round of the event loop that takes longer than the timer.
            arrive(request("a"))
            val read = request("b")
            arrive(read)
            timers.removeFirst()()
            assertEquals(0, decisions.size)
            intake.callerGone(read)
            timers.removeFirst()()
            assertEquals(IntakeDecision.CALLER_GONE, decisions[read])
            assertEquals(2, decisions.size)
        }

        @Test
        fun `the sockets are read between slices of work`() {
            // Guards against a backlog that is worked off without a look at who has left.
            val requests = List(10) { request("a") }
            requests.forEach { arrive(it, costMilliseconds = 15) }
            timers.removeFirst()()
            assertEquals(0, decisions.size)
            timers.removeFirst()()
            assertEquals(2, decisions.size)
            assertEquals(1, timers.size)
        }

        @Test
        fun `the time since the last reading counts as age`() {
            // Guards against a stalled router that regards a request as new when it reads it late.
            intake.recordTick(nextAt = start.plusMilliseconds(20))
            assertEquals(0, intake.unreadMicroseconds(start.plusMilliseconds(15)))
            assertEquals(1_980_000, intake.unreadMicroseconds(start.plusMilliseconds(2_000)))
        }

        @Test
        fun `that are read right after late work are as old as that was late`() {
            // Guards against a deadline that is later than the caller's, because a new connection waited to be read.
            intake.recordTick(nextAt = start.plusMilliseconds(20))
            now = start.plusMilliseconds(2_000)
            intake.recordTick(nextAt = start.plusMilliseconds(2_020))
            assertEquals(1_980_000, intake.unreadMicroseconds(start.plusMilliseconds(2_001)))
            now = start.plusMilliseconds(2_025)
            intake.recordTick(nextAt = start.plusMilliseconds(2_045))
            assertEquals(5_000, intake.unreadMicroseconds(start.plusMilliseconds(2_026)))
        }
    }

    /** In any order of arrivals, disconnects and turns, a request starts at most once and never after its caller left. */
    @Property(seed = "20261204", tries = 300)
    fun `no order of events starts a request after its caller left`(
        @ForAll
        @Size(max = 120)
        events: List<
            @IntRange(min = 0, max = 99)
            Int,
        >,
    ) {
        var now = start
        val timers = ArrayDeque<() -> Unit>()
        val intake = Intake({ now }) { _, action -> timers += action }
        val requests = ArrayList<WaitingRequest>()
        val gone = HashSet<WaitingRequest>()
        val started = HashSet<WaitingRequest>()
        val violations = ArrayList<WaitingRequest>()
        events.forEach { event ->
            now = now.plusMilliseconds(event.toLong())
            when {
                event % 3 == 0 || requests.isEmpty() -> {
                    val request = WaitingRequest("team-${event % 4}", now, now.plusMilliseconds(400))
                    requests += request
                    CoroutineScope(Dispatchers.Unconfined).launch(start = CoroutineStart.UNDISPATCHED) {
                        if (intake.awaitTurn(request) == IntakeDecision.START) {
                            if (request in gone || !started.add(request)) violations += request
                        }
                    }
                }
                event % 3 == 1 ->
                    requests[event % requests.size].let {
                        intake.callerGone(it)
                        gone += it
                    }
                else -> timers.removeFirstOrNull()?.invoke()
            }
        }
        assertEquals(emptyList(), violations)
    }
}
