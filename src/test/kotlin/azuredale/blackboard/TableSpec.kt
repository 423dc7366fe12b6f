package azuredale.blackboard

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse

class TableSpec {
    private val members = Table<String, Int>("members", "test", maximumRows = 2, rank = LockRank.MEMBERS)
    private val grants = Table<String, Int>("grants", "test", maximumRows = 2, rank = LockRank.GRANTS)

    @Nested
    inner class LockOrder {
        @Test
        fun `rejects a lower rank while a higher one is held`() {
            // Guards against deadlock between workers that lock the same tables in opposite order.
            assertFailsWith<IllegalStateException> { grants.locked { members.locked { members.size } } }
        }

        @Test
        fun `accepts ascending ranks and stays usable after a violation`() {
            assertFailsWith<IllegalStateException> { grants.locked { members.locked { members.size } } }
            assertEquals(0, members.locked { grants.locked { grants.size } })
        }

        @Test
        fun `rejects access without the lock`() {
            assertFailsWith<IllegalStateException> { members.size }
        }
    }

    @Nested
    inner class Bound {
        @Test
        fun `rejects a row beyond the maximum and still replaces existing rows`() {
            // Guards against unbounded memory growth under load.
            members.locked {
                members.put("a", 1)
                members.put("b", 2)
                assertFalse(members.put("c", 3))
                members.put("a", 4)
                assertEquals(mapOf("a" to 4, "b" to 2), members.entries.toMap())
            }
        }
    }
}
