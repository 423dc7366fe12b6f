package azuredale.intake

import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Load pattern: all requests of a team come to one router, which cannot keep up with them. */
class OverloadDetectorSpec {
    private val start = Timestamp.ofMilliseconds(1_000_000)
    private val detector = OverloadDetector()

    @Nested
    inner class Delays {
        @Test
        fun `a router whose work is late again and again is overloaded`() {
            // Guards against a router that goes on being named to callers whose requests it reads too late.
            detector.recordLag(300, start)
            detector.recordLag(250, start.plusMilliseconds(300))
            assertTrue(detector.isOverloaded(start.plusMilliseconds(310)))
        }

        @Test
        fun `a single pause is no overload`() {
            // Guards against routers that leave the address answers for each collection of garbage.
            detector.recordLag(400, start)
            detector.recordLag(5, start.plusMilliseconds(20))
            detector.recordLag(400, start.plusMilliseconds(3_000))
            assertFalse(detector.isOverloaded(start.plusMilliseconds(3_010)))
        }

        @Test
        fun `the state outlasts the answers that callers keep and then ends`() {
            // Guards against callers that return together as soon as they have left.
            detector.recordLag(300, start)
            detector.recordLag(300, start.plusMilliseconds(320))
            assertTrue(detector.isOverloaded(start.plusMilliseconds(4_000)))
            assertFalse(detector.isOverloaded(start.plusMilliseconds(7_000)))
        }
    }
}
