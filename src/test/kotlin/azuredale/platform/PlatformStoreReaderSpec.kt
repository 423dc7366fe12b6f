package azuredale.platform

import azuredale.freshness.CatalogRead
import azuredale.freshness.OperatorRead
import azuredale.identity.FailureDomain
import azuredale.identity.Revision
import azuredale.standin.PlatformFaults
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull

/** Contract of the reads of the operators' keys with the platform's store. */
class PlatformStoreReaderSpec {
    private suspend fun PlatformFixture.read(readsEvacuations: Boolean = true): OperatorRead =
        PlatformStoreReader(client, readsEvacuations).readCatalog(Revision.NONE, deadline(1_000))

    @Nested
    inner class Evacuations {
        @Test
        fun `are read with the catalog by one call`() = PlatformFixture.run {
            // Guards against a second call to the store for each read of the catalog.
            standIn.put(StoreKey.CATALOG, """{"version":3}""")
            standIn.put(StoreKey.EVACUATIONS + "sul-a", "{}")
            val before = standIn.callsReceived
            val read = read()
            assertEquals(1, standIn.callsReceived - before)
            assertEquals(3, assertIs<CatalogRead.Newer>(read.catalog).catalog.version)
            assertEquals(setOf(FailureDomain("sul-a")), assertNotNull(read.evacuations).domains)
        }

        @Test
        fun `are empty, not unknown, before the first catalog`() = PlatformFixture.run {
            val read = read()
            assertEquals(CatalogRead.Missing, read.catalog)
            assertEquals(emptySet(), assertNotNull(read.evacuations).domains)
        }

        @Test
        fun `without a domain, and too many of them, are left out`() = PlatformFixture.run {
            // Guards against one writer whose keys fill every report between routers.
            standIn.put(StoreKey.EVACUATIONS, "{}")
            standIn.put(StoreKey.EVACUATIONS + "x".repeat(100), "not JSON")
            repeat(70) { standIn.put(StoreKey.EVACUATIONS + "domain-$it", "") }
            val read = read()
            assertEquals(64, assertNotNull(read.evacuations).domains.size)
            assertEquals(8, read.malformed.size)
        }

        @Test
        fun `are unknown while the store is down`() = PlatformFixture.run {
            // Guards against an outage that looks like the end of all evacuations.
            standIn.put(StoreKey.EVACUATIONS + "sul-a", "{}")
            standIn.faults = PlatformFaults(isDown = true)
            val read = read()
            assertIs<CatalogRead.Failed>(read.catalog)
            assertNull(read.evacuations)
        }

        @Test
        fun `are not read without the setting`() = PlatformFixture.run {
            standIn.put(StoreKey.EVACUATIONS + "sul-a", "{}")
            assertNull(read(readsEvacuations = false).evacuations)
        }
    }
}
