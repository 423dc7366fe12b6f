package azuredale.gateway

import azuredale.identity.ServerId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ResponseBufferBudgetSpec {
    private val budget = ResponseBufferBudget(16 * 1024 * 1024)
    private val evicted = ArrayList<String>()

    private fun part(server: String, name: String = server) = budget.Part(ServerId(server)) { evicted += name }

    @Nested
    inner class FaultyServer {
        @Test
        fun `that fills the budget does not fail the responses of other servers`() {
            // Guards against a sound response that fails because another server's unfinished ones fill the budget.
            val endless = List(16) { part("faulty", "faulty-$it").also { part -> part.update(1024 * 1024 - it) } }
            assertTrue(part("sound").update(64 * 1024))
            assertEquals(listOf("faulty-0"), evicted)
            assertFalse(endless[0].update(10), "an evicted response does not come back")
        }

        @Test
        fun `gives way itself when it needs more`() {
            // Guards against one server that evicts the responses of others by sending more.
            val sound = part("sound").also { it.update(1024 * 1024) }
            val endless = List(15) { part("faulty", "faulty-$it").also { part -> part.update(1024 * 1024) } }
            assertFalse(endless[3].update(1024 * 1024 + 1))
            assertTrue(sound.update(1024 * 1024 + 1))
            assertEquals(emptyList(), evicted)
        }

        @Test
        fun `is limited for each response as well`() {
            // Guards against one response that takes the whole budget.
            assertFalse(part("faulty").update(2 * 1024 * 1024 + 1))
        }
    }

    @Nested
    inner class Release {
        @Test
        fun `returns the bytes`() {
            // Guards against a budget that shrinks with each response.
            repeat(100) {
                val part = part("server-$it")
                assertTrue(part.update(2 * 1024 * 1024))
                part.release()
            }
            assertEquals(emptyList(), evicted)
        }
    }
}
