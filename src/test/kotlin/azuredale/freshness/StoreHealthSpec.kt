package azuredale.freshness

import azuredale.time.Timestamp
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.test.assertEquals

class StoreHealthSpec {
    /** How a read ends 900 ms after it was sent. */
    enum class Ending { ANSWER, TIME_OUT, REJECTION, NONE }

    /**
     * A read and what this router knows after it.
     *
     * @property lagAt when this router's work ran late, in milliseconds after the read was sent, null if it did not.
     */
    enum class Read(
        val lagAt: Long?,
        val ending: Ending,
        val isUnavailable: Boolean,
    ) {
        ANSWERED_LATE(null, Ending.ANSWER, true),
        ANSWERED_LATE_BY_LATE_ROUTER(700, Ending.ANSWER, false),
        ANSWERED_LATE_AFTER_A_DELAY(-100, Ending.ANSWER, true),
        TIMED_OUT(null, Ending.TIME_OUT, true),
        TIMED_OUT_AT_LATE_ROUTER(700, Ending.TIME_OUT, false),
        REJECTED_AT_LATE_ROUTER(700, Ending.REJECTION, true),
        UNANSWERED(null, Ending.NONE, true),
        UNANSWERED_AT_LATE_ROUTER(700, Ending.NONE, false),
    }

    private fun StoreHealth.end(ending: Ending, sentAt: Timestamp, now: Timestamp) = when (ending) {
        Ending.ANSWER -> recordAnswer(sentAt, now)
        Ending.TIME_OUT -> recordFailure(sentAt, isRejected = false)
        Ending.REJECTION -> recordFailure(sentAt, isRejected = true)
        Ending.NONE -> update(now)
    }

    @ParameterizedTest
    @EnumSource(Read::class)
    fun `a router that is late does not take its own delay for an outage of the store`(read: Read) {
        // Guards against a late router that uses servers which have left, because it believes that nobody can know.
        val health = StoreHealth()
        val sentAt = Timestamp.ofMilliseconds(1_000_000)
        read.lagAt?.let { health.recordLag(lagMilliseconds = 600, sentAt.plusMilliseconds(it)) }
        health.recordSent(sentAt)
        health.end(read.ending, sentAt, sentAt.plusMilliseconds(900))
        assertEquals(read.isUnavailable, health.isUnavailable)
        assertEquals(read.isUnavailable, health.wasUnavailableSince(sentAt))
        assertEquals(false, health.wasUnavailableSince(Timestamp.DISTANT_PAST))
        health.recordSent(sentAt.plusMilliseconds(950))
        health.recordAnswer(sentAt.plusMilliseconds(950), sentAt.plusMilliseconds(954))
        assertEquals(false, health.isUnavailable)
    }
}
