package azuredale.report

import azuredale.identity.Incarnation
import azuredale.identity.PoolId
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class PoolObjectiveSpec {
    private val now = Timestamp.ofMilliseconds(1_800_000_000_000)
    private val team = TeamId("kiosk")
    private val strict = PoolId("lockers")
    private val relaxed = PoolId("models")

    @Nested
    inner class Missed {
        @Test
        fun `requests of a pool are judged by the pool's own objective`() {
            // Guards against a report that ignores the pools' objectives in the document.
            val tracker =
                BurnTracker(RouterId("router-1"), Incarnation(1), objectiveOf = { pool ->
                    ServiceLevelObjective(firstTokenMicroseconds = if (pool == strict) 1_000 else 1_000_000)
                })
            listOf(strict, relaxed).forEach { pool ->
                tracker.requestEnded(BurnKey(team, pool), EndedRequest(false, firstTokenMicroseconds = 50_000), now)
            }
            val missed =
                tracker.report(emptyList(), now).rows.associate {
                    it.key.pool to it.windows.getValue(BurnWindow.FAST_SHORT).missed
                }
            assertEquals(mapOf(strict to 1L, relaxed to 0L), missed)
        }
    }

    @Nested
    inner class Counters {
        @Test
        fun `function counters survive garbage collection`() {
            // The registry holds a function counter's source weakly; without a strong reference it would read zero.
            val metrics = Metrics()
            var total = 0L
            metrics.controlBytes(ControlChannel.FRAMES_SENT) { total }
            System.gc()
            total = 42
            val line = metrics.scrape().lines().single { it.startsWith("azuredale_control_bytes_total") }
            assertEquals("42.0", line.substringAfterLast(' '))
        }
    }
}
