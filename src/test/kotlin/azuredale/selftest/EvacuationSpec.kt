package azuredale.selftest

import azuredale.gateway.FleetBounds
import azuredale.platform.StoreKey
import azuredale.standin.PlatformFaults
import kotlinx.coroutines.delay
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Operators evacuate the failure domain of some servers, or of all. */
class EvacuationSpec {
    private val bounds = FleetBounds(evacuationBoundMilliseconds = 5_000)

    @Test
    fun `moves all requests to other domains, also while the store is away`() = withRawServers(bounds) {
        // Guards against requests, connections and retries that still reach an evacuated domain.
        register(0, generation = 3, domain = "other")
        delay(SETTLE_MILLISECONDS)
        fixture.platform.put(StoreKey.EVACUATIONS + "other", "{}")
        delay(SETTLE_MILLISECONDS)
        servers.forEach { it.targets.clear() }
        repeat(5) { assertTrue(send(count = 8).all { it.status == 200 }) }
        fixture.platform.faults = PlatformFaults(isDown = true)
        delay(2 * SETTLE_MILLISECONDS)
        send(count = 8)
        assertEquals(0, servers[0].targets.size)
    }

    @Test
    fun `of all domains refuses requests at once with a time of return`() = withRawServers(bounds) {
        // Guards against requests that are held until their callers give up.
        fixture.platform.put(StoreKey.EVACUATIONS + "domain", "{}")
        delay(SETTLE_MILLISECONDS)
        servers.forEach { it.targets.clear() }
        val begun = System.nanoTime()
        val refused = send(count = 8)
        assertTrue((System.nanoTime() - begun) / 1_000_000 < 500)
        assertTrue(refused.all { it.status == 503 && "retry-after" in it.headers })
        assertEquals(0, servers.sumOf { it.targets.size })
    }

    private companion object {
        /** Longer than the interval between reads of the store. */
        const val SETTLE_MILLISECONDS = 1_200L
    }
}
