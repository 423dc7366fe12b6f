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
        fun `refuses a lower rank while a higher one is held`() {
            // Guards against deadlock between two workers that take the same tables in opposite order.
            assertFailsWith<IllegalStateException> { grants.locked { members.locked { members.size } } }
        }

        @Test
        fun `accepts ascending ranks and stays usable after a refusal`() {
            assertFailsWith<IllegalStateException> { grants.locked { members.locked { members.size } } }
            assertEquals(0, members.locked { grants.locked { grants.size } })
        }

        @Test
        fun `refuses access without the lock`() {
            assertFailsWith<IllegalStateException> { members.size }
        }
    }

    @Nested
    inner class Bound {
        @Test
        fun `refuses a row past the bound and keeps replacing existing rows`() {
            // Guards against a flood that grows a table without limit.
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
