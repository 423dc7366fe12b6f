package azuredale.standin

import azuredale.identity.NetworkAddress
import azuredale.platform.PlatformFixture
import azuredale.platform.VirtualMachineListClient
import azuredale.platform.VirtualMachineListResult
import azuredale.store.CallFailureReason
import azuredale.store.KeyVersion
import azuredale.store.ReadResult
import azuredale.store.WriteResult
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class PlatformStandInSpec {
    private suspend fun PlatformFixture.control(order: String) {
        val client = WebClient.create(vertx)
        client.post(address.port, address.host, "/control").sendJsonObject(JsonObject(order)).coAwait()
    }

    @Test
    fun `takes faults and the VM list through its control endpoint and counts calls`() = PlatformFixture.run {
        // Guards against demos and scenarios whose injected faults have no effect.
        control("""{"down": true, "vms": {"live": ["10.0.0.1"], "leaving": ["10.0.0.2"]}}""")
        assertIs<ReadResult.Failed>(client.read("/k", deadline()))
        control("{}")
        assertIs<ReadResult.Missing>(client.read("/k", deadline()))
        val machines = VirtualMachineListClient(vertx, address, rateLimiter, clock).list(deadline())
        val expected = setOf(NetworkAddress("10.0.0.1", 0)) to setOf(NetworkAddress("10.0.0.2", 0))
        assertEquals(expected, assertIs<VirtualMachineListResult.Listed>(machines).let { it.live to it.leaving })
        val state =
            WebClient
                .create(vertx)
                .get(address.port, address.host, "/control")
                .send()
                .coAwait()
        assertEquals(3, state.bodyAsJsonObject()?.getLong("calls"))
    }

    @Test
    fun `refuses calls above its rate without effect`() = PlatformFixture.run {
        // Guards against a stand-in that accepts more calls than the service it simulates.
        control("""{"calls_per_second": 5}""")
        val results = (1..20).map { client.write("/k$it", ByteArray(1), KeyVersion.ABSENT, deadline()) }
        control("{}")
        val stored = (1..20).count { client.read("/k$it", deadline()) is ReadResult.Found }
        assertEquals(results.count { it is WriteResult.Written }, stored)
        val refused = results.filterIsInstance<WriteResult.NotWritten>()
        assertEquals(20 - stored, refused.count { it.failure.reason == CallFailureReason.REFUSED })
        assertTrue(stored in 5..15, "$stored of 20 calls passed a limit of 5 per second")
    }
}
