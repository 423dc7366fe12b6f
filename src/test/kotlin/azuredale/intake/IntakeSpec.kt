package azuredale.intake

import azuredale.time.Timestamp
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class IntakeSpec {
    private var now = Timestamp.ofMilliseconds(1_000_000)
    private val intake = Intake({ now }) { _, _ -> }

    private fun read(group: String) {
        val request = WaitingRequest(group, now, startBy = now.plusMilliseconds(2_000))
        CoroutineScope(Dispatchers.Unconfined).launch(start = CoroutineStart.UNDISPATCHED) { intake.awaitTurn(request) }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `of requests that are read after a pause of the process are not called for`() {
            // Guards against a router that refuses what it could start at once, since it stood still for a moment.
            read("key")
            now = now.plusMilliseconds(131)
            assertFalse(intake.isBehind("key"))
        }

        @Test
        fun `are called for while a router reads for longer than requests may wait`() {
            read("key")
            repeat(21) {
                now = now.plusMilliseconds(5)
                intake.isBehind("other")
            }
            assertTrue(intake.isBehind("key"))
            assertFalse(intake.isBehind("other"))
        }
    }
}
