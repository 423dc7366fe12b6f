package azuredale.report

import azuredale.identity.PoolId
import azuredale.identity.TeamId
import azuredale.outcome.ErrorKind
import azuredale.transport.FrameFault
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MetricsSpec {
    private val pool = PoolId("models")

    @Test
    fun `renders counters, gauges and timers`() {
        val metrics = Metrics()
        repeat(3) { metrics.requestEnded(TeamId("harbour"), pool, null) }
        metrics.requestEnded(TeamId("harbour"), pool, ErrorKind.QUEUE_FULL)
        metrics.granted(pool)
        metrics.platformCalled(PlatformCall.READ, hasSucceeded = false)
        metrics.firstToken(pool, 80_000)
        metrics.controlBytes(ControlChannel.FRAMES_SENT) { 777 }
        metrics.framesRefused("frames") { if (it == FrameFault.WRONG_CODE) 5 else 0 }
        metrics.gauge("table.rows", mapOf("table" to "members")) { 8.0 }
        System.gc()
        val lines = metrics.scrape().lines()
        listOf(
            """azuredale_requests_total{outcome="completed",pool="models",team="harbour"} 3.0""",
            """azuredale_requests_total{outcome="queue_full",pool="models",team="harbour"} 1.0""",
            """azuredale_grants_total{pool="models"} 1.0""",
            """azuredale_platform_calls_total{call="read",result="failure"} 1.0""",
            """azuredale_first_token_seconds_count{pool="models"} 1""",
            """azuredale_control_bytes_total{channel="frames_sent"} 777.0""",
            """azuredale_frames_refused_total{fault="wrong_code",source="frames"} 5.0""",
            """azuredale_table_rows{table="members"} 8.0""",
        ).forEach { assertTrue(it in lines, "$it\n${lines.joinToString("\n")}") }
    }

    @Test
    fun `limits the number of time series`() {
        // Guards against unbounded memory use when a caller sends many made-up names.
        val metrics = Metrics(maximumSeries = 10)
        repeat(500) { metrics.requestEnded(TeamId("team-$it"), pool, null) }
        repeat(500) { metrics.granted(PoolId("pool-$it")) }
        val lines = metrics.scrape().lines()
        assertEquals(11, lines.count { it.startsWith("azuredale_requests_total{") })
        assertTrue("""azuredale_requests_total{outcome="completed",pool="models",team="other"} 490.0""" in lines)
        assertTrue(lines.count { it.startsWith("azuredale_grants_total{") } <= 65)
    }
}
