package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.gateway.AttemptRecorder
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.time.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: a router that restarts under full load briefly sees all events late and then refuses every prompt. */
class StalledRouterSpec {
    private val pool = PoolId("pool-a")
    private val start = Timestamp.ofMilliseconds(1_000_000)
    private val statistics = ServerStatistics { 400_000 }
    private val server =
        BackendEntry(
            id = ServerId("server-1"),
            pool = pool,
            address = NetworkAddress("10.0.0.1", 80),
            failureDomain = FailureDomain("domain"),
            slots = 48,
            state = BackendState.READY,
        )

    private fun predict() = statistics.predictMilliseconds(server, uncachedTokens = 500, load = ServerLoad.NONE)

    @Test
    fun `resets estimates from a stall when no first event follows`() {
        // Guards against a router that refuses every prompt and so never sees another first event to correct itself.
        val fresh = predict()
        repeat(60) { statistics.recordFirstEvent(server, tokens = 500.0, milliseconds = 1_200.0, now = start) }
        assertTrue(predict() > 300, "the stall did not raise the prediction: ${predict()} ms")
        statistics.resetStaleEstimates(pool, start.plusMilliseconds(900))
        assertTrue(predict() > 300, "estimates were reset although the last first event is recent")
        statistics.resetStaleEstimates(pool, start.plusMilliseconds(1_100))
        assertEquals(fresh, predict())
    }

    @Test
    fun `resets estimates that let hardly any prompt through`() {
        // Guards against a router that refuses the callers of a team, who keep to it, for seconds after a stall,
        // because the few prompts that it admits correct its estimates too slowly.
        val fresh = predict()
        repeat(60) { statistics.recordFirstEvent(server, tokens = 500.0, milliseconds = 1_200.0, now = start) }
        repeat(210) { index ->
            val now = start.plusMilliseconds(index * 5L)
            if (index % 30 == 0) statistics.recordFirstEvent(server, tokens = 500.0, milliseconds = 60.0, now = now)
            statistics.resetStaleEstimates(pool, now)
        }
        assertTrue(predict() < fresh * 2, "${predict()} ms")
    }

    @Test
    fun `keeps the estimates of a pool in use`() {
        // Guards against estimates of slow servers that are lost once a second.
        repeat(60) { statistics.recordFirstEvent(server, tokens = 500.0, milliseconds = 1_200.0, now = start) }
        val learned = predict()
        repeat(210) { index ->
            val now = start.plusMilliseconds(index * 5L)
            if (index % 4 == 0) statistics.recordUnmeasuredFirstEvent(pool, now)
            statistics.resetStaleEstimates(pool, now)
        }
        assertEquals(learned, predict())
    }

    @Test
    fun `learns nothing from an event that a late router reads`() {
        // Guards against a controller that measures itself: a late router that regards all servers as slow.
        val fresh = predict()
        repeat(60) {
            val selection = ServerSelection.Selected(server, uncachedTokens = 500, predictedMilliseconds = 50.0)
            val recorder = AttemptRecorder(statistics, selection, start, onAnswered = {}, onExcluded = {})
            recorder.recordEvent(start.plusMilliseconds(1_200), isRouterLate = true)
            recorder.release(start.plusMilliseconds(1_200))
        }
        assertEquals(fresh, predict())
    }
}
