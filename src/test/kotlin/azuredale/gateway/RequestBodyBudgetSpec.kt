package azuredale.gateway

import azuredale.time.Timestamp
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Load pattern: callers upload large bodies faster than a small VM can pass them on, beside many small requests. */
class RequestBodyBudgetSpec {
    private val timers = ArrayList<Pair<Timestamp, () -> Unit>>()
    private val budget =
        RequestBodyBudget(40L * MEGABYTE) { at, action ->
            val entry = at to action
            timers += entry
            Timer { timers -= entry }
        }
    private val until = Timestamp.ofMilliseconds(1_000)

    private fun passTime(at: Timestamp) = timers.filter { it.first <= at }.forEach { it.second() }

    @Nested
    inner class LargeUploads {
        @Test
        fun `beyond the memory wait, and are read in order of arrival as soon as others end`(): Unit = runBlocking {
            // Guards against a process that reads all uploads at once and runs out of memory.
            val held = List(7) { assertNotNull(budget.tryReserve(4L * MEGABYTE)) }
            assertNull(budget.tryReserve(4L * MEGABYTE))
            val first = async(start = CoroutineStart.UNDISPATCHED) { budget.reserve(4L * MEGABYTE, until) }
            assertNull(budget.tryReserve(1L * MEGABYTE), "a shorter body overtakes one that waits")
            held.first().release()
            assertNotNull(first.await())
            assertEquals(28L * MEGABYTE, budget.heldBytes)
        }

        @Test
        fun `are refused when no room comes in time, and hold nothing then`(): Unit = runBlocking {
            val held = List(7) { assertNotNull(budget.tryReserve(4L * MEGABYTE)) }
            val late = async(start = CoroutineStart.UNDISPATCHED) { budget.reserve(4L * MEGABYTE, until) }
            passTime(until)
            assertNull(late.await())
            assertEquals(1, budget.refusals)
            held.forEach { it.release() }
            assertEquals(0, budget.heldBytes)
        }

        @Test
        fun `that exceed the whole budget are refused at once`(): Unit = runBlocking {
            assertNull(budget.reserve(41L * MEGABYTE, until))
        }

        @Test
        fun `of undeclared length end when there is no room for more`() {
            val upload = assertNotNull(budget.tryReserve(null))
            assertTrue(upload.grow(4L * MEGABYTE))
            assertFalse(upload.grow(40L * MEGABYTE))
            upload.release()
            upload.release()
            assertEquals(0, budget.heldBytes)
        }
    }

    @Nested
    inner class SmallRequests {
        @Test
        fun `are read at once while large uploads use up their part`() {
            // Guards against small requests that wait behind uploads after a pause of the VM.
            repeat(7) { assertNotNull(budget.tryReserve(4L * MEGABYTE)) }
            repeat(500) { assertNotNull(budget.tryReserve(600), "request $it") }
        }
    }

    @Nested
    inner class Properties {
        @Test
        fun `what is held never exceeds the budget, and nothing is left when all have ended`(): Unit = runBlocking {
            repeat(20) { seed -> playRandomUploads(Random(seed)) }
        }

        private suspend fun playRandomUploads(random: Random) = coroutineScope {
            val held = ArrayList<RequestBodyBudget.Reservation>()
            repeat(300) {
                val bytes = if (random.nextBoolean()) random.nextLong(16_384) else random.nextLong(8L * MEGABYTE)
                val declared = bytes.takeIf { random.nextInt(4) > 0 }
                val room = budget.tryReserve(declared)
                if (room != null && (declared != null || room.grow(bytes))) held += room else room?.release()
                if (held.size > random.nextInt(1, 20)) held.removeAt(random.nextInt(held.size)).release()
                assertTrue(budget.heldBytes <= 40L * MEGABYTE)
            }
            held.forEach { it.release() }
            assertEquals(0, budget.heldBytes)
        }
    }

    private companion object {
        const val MEGABYTE = 1024 * 1024
    }
}
