package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.time.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Load pattern: a router restarts under full load, sees all events late for a moment and then refuses everything. */
class StalledRouterSpec {
    private val pool = PoolId("pool-a")
    private val start = Timestamp.ofMilliseconds(1_000_000)
    private val book = EngineBook { 400_000 }
    private val server =
        BackendEntry(
            id = ServerId("server-1"),
            pool = pool,
            address = NetworkAddress("10.0.0.1", 80),
            failureDomain = FailureDomain("domain"),
            slots = 48,
            state = BackendState.READY,
        )

    private fun predict() = book.predict(server, uncachedTokens = 500, load = ServerLoad.NONE)

    @Test
    fun `predicts as a new router once nothing has confirmed what it learned in the stall`() {
        // Guards against a router that refuses every prompt for good, since it never sees another first event.
        val fresh = predict()
        repeat(60) { book.firstEvent(server, tokens = 500.0, milliseconds = 1_200.0, now = start) }
        assertTrue(predict() > 300, "the stall was not learned: ${predict()} ms")
        book.forgetUnconfirmed(pool, start.plusMilliseconds(900))
        assertTrue(predict() > 300, "forgotten although it was confirmed lately")
        book.forgetUnconfirmed(pool, start.plusMilliseconds(1_100))
        assertEquals(fresh, predict())
    }
}
