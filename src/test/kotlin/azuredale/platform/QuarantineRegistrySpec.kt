package azuredale.platform

import azuredale.identity.PartId
import azuredale.quarantine.QuarantineCallResult
import azuredale.standin.PlatformFaults
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull

/** Contract of the quarantine table with the platform's store. */
class QuarantineRegistrySpec {
    private val part = PartId("5c1e07a2")

    private suspend fun PlatformFixture.trials() = assertNotNull(QuarantineRegistry(client).read(deadline())).trials

    @Nested
    inner class Entries {
        @Test
        fun `are kept until they are removed`() = PlatformFixture.run {
            val registry = QuarantineRegistry(client)
            assertEquals(emptyMap(), trials())
            assertEquals(QuarantineCallResult.Done, registry.add(part, deadline()))
            assertEquals(QuarantineCallResult.Conflict, registry.add(part, deadline()))
            assertEquals(mapOf(part to 0), trials())
            assertEquals(QuarantineCallResult.Done, registry.remove(part, deadline()))
            assertEquals(emptyMap(), trials())
        }

        @Test
        fun `that cannot be decoded are ignored`() = PlatformFixture.run {
            // Guards against one malformed entry that lifts all others.
            QuarantineRegistry(client).add(part, deadline())
            standIn.put(StoreKey.QUARANTINE + "other", "not a number")
            assertEquals(mapOf(part to 0), trials())
        }

        @Test
        fun `are unknown while the store is down`() = PlatformFixture.run {
            // Guards against an outage that looks like an empty table.
            standIn.faults = PlatformFaults(isDown = true)
            assertNull(QuarantineRegistry(client).read(deadline(1_000)))
        }
    }

    @Nested
    inner class Trials {
        @Test
        fun `are claimed by one of several routers`() = PlatformFixture.run {
            // Guards against a trial request of each router, each of which may end a server.
            val registry = QuarantineRegistry(client)
            registry.add(part, deadline())
            val results = List(3) { registry.addTrial(part, trials = 0, deadline()) }
            assertEquals(1, results.count { it is QuarantineCallResult.Done })
            assertEquals(mapOf(part to 1), trials())
        }

        @Test
        fun `whose claim has no answer are not made`() = PlatformFixture.run {
            // Guards against two routers that both believe that they hold the claim.
            val registry = QuarantineRegistry(client)
            registry.add(part, deadline())
            standIn.faults = PlatformFaults(lostReplies = 1)
            assertIs<QuarantineCallResult.Failed>(registry.addTrial(part, trials = 0, deadline(1_000)))
            assertEquals(QuarantineCallResult.Conflict, registry.addTrial(part, trials = 0, deadline()))
        }
    }
}
