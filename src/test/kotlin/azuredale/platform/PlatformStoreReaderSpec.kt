package azuredale.platform

import azuredale.freshness.CatalogRead
import azuredale.freshness.DirectoryRead
import azuredale.freshness.OperatorRead
import azuredale.identity.FailureDomain
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.standin.PlatformFaults
import azuredale.store.StoreEra
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull

/** Contract of the reads of the operators' keys with the platform's store. */
class PlatformStoreReaderSpec {
    private suspend fun PlatformFixture.read(readsEvacuations: Boolean = true): OperatorRead =
        PlatformStoreReader(client, readsEvacuations).readCatalog({ false }, deadline(1_000))

    @Nested
    inner class ColdServers {
        private suspend fun PlatformFixture.coldServers(isObserved: Boolean): Pair<List<Boolean>, Int> {
            val reader = PlatformStoreReader(client, observesColdServers = isObserved)
            val directory = assertIs<DirectoryRead.Found>(reader.readDirectory(deadline(1_000))).directory
            return directory.entries.values.map { it.isCold } to directory.digest
        }

        private fun PlatformFixture.register(coldMilliseconds: Int) = standIn.put(
            StoreKey.SERVERS + "s",
            """{"service":"p","address":"10.0.0.1:80","zone":"a","version":"1","slots":8,"state":"ready",""" +
                """"cold-left-ms":$coldMilliseconds,"sequence":1}""",
        )

        @Test
        fun `are observed if asked for, and look the same while their remaining time counts down`() =
            PlatformFixture.run {
                // Guards against reads of the store by every router at each heartbeat of a cold server.
                register(2_900)
                val first = coldServers(isObserved = true)
                assertEquals(listOf(true), first.first)
                register(1_700)
                assertEquals(first, coldServers(isObserved = true))
                assertEquals(listOf(false), coldServers(isObserved = false).first)
                register(0)
                assertEquals(listOf(false), coldServers(isObserved = true).first)
            }

        @Test
        fun `have the limits that their pool declares`() = PlatformFixture.run {
            standIn.put(
                StoreKey.CATALOG,
                """{"services":[{"name":"a","cold-per-s":10,"warmup-s":2.5},{"name":"b","cold-per-s":0,"warmup-s":3}]}""",
            )
            val catalog = assertIs<CatalogRead.Unknown>(read().catalog).catalog
            assertEquals(listOf(10.0, null), catalog.pools.map { it.coldRequestsPerSecond })
            assertEquals(2_500, catalog.pool(PoolId("a"))?.warmUpMilliseconds)
        }
    }

    @Nested
    inner class Homes {
        @Test
        fun `are read for routes and teams`() = PlatformFixture.run {
            standIn.put(
                StoreKey.CATALOG,
                """{"routes":[{"name":"r","host":"h","path-prefix":"/","kind":"streaming","service":"p",""" +
                    """"timeout-ms":1000,"target-latency-ms":500,"allowed-regions":["sul"]}],""" +
                    """"tenants":[{"name":"t","api-keys":["k"],"allowed-regions":["norte"]},{"name":"u"}]}""",
            )
            val catalog = assertIs<CatalogRead.Unknown>(read().catalog).catalog
            assertEquals(setOf(Region("sul")), catalog.routes.single().homes)
            assertEquals(listOf(setOf(Region("norte")), emptySet()), catalog.teams.map { it.homes })
        }
    }

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
            assertEquals(3, assertIs<CatalogRead.Unknown>(read.catalog).catalog.version)
            assertEquals(setOf(FailureDomain("sul-a")), assertNotNull(read.evacuations).domains)
        }

        @Test
        fun `are empty, not unknown, before the first catalog`() = PlatformFixture.run {
            val read = read()
            assertEquals(CatalogRead.Missing(StoreEra(1)), read.catalog)
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
