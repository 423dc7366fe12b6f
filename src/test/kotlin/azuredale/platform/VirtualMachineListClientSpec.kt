package azuredale.platform

import azuredale.identity.NetworkAddress
import azuredale.standin.PlatformFaults
import azuredale.store.CallFailureReason
import kotlinx.coroutines.delay
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class VirtualMachineListClientSpec {
    @Test
    fun `shows a change after the platform's lag`() = PlatformFixture.run {
        // Guards against a stand-in without lag, which would hide membership faults that need an outdated list.
        val machines = VirtualMachineListClient(vertx, address, rateLimiter, clock)
        standIn.setVirtualMachines(listOf("10.0.0.1", "10.0.0.2:7003"))
        val first =
            VirtualMachineListResult.Listed(
                setOf(NetworkAddress("10.0.0.1", 0), NetworkAddress("10.0.0.2", 7_003)),
                emptySet(),
            )
        assertEquals(first, machines.list(deadline()))
        val changedAt = clock()
        standIn.setVirtualMachines(listOf("10.0.0.1"), listOf("10.0.0.2"), lagMilliseconds = 300)
        var seen = machines.list(deadline())
        while (seen == first) {
            delay(20)
            seen = machines.list(deadline())
        }
        assertEquals(setOf(NetworkAddress("10.0.0.2", 0)), assertIs<VirtualMachineListResult.Listed>(seen).leaving)
        assertEquals(true, clock() >= changedAt.plusMilliseconds(300))
    }

    @Test
    fun `fails as a whole when an entry is malformed or the platform is down`() = PlatformFixture.run {
        // Guards against live VMs that are treated as removed because one entry is malformed.
        val machines = VirtualMachineListClient(vertx, address, rateLimiter, clock)
        standIn.setVirtualMachines(listOf("10.0.0.1", "ten"))
        assertIs<VirtualMachineListResult.Failed>(machines.list(deadline()))
        standIn.setVirtualMachines(listOf("10.0.0.1"))
        standIn.faults = PlatformFaults(isDown = true)
        assertIs<VirtualMachineListResult.Failed>(machines.list(deadline()))
        standIn.faults = PlatformFaults(delayMilliseconds = 60_000)
        val slow = assertIs<VirtualMachineListResult.Failed>(machines.list(deadline(100)))
        assertEquals(CallFailureReason.DEADLINE_PASSED, slow.failure.reason)
    }
}
