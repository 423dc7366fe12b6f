package azuredale.freshness

import azuredale.catalog.CallerLimits
import azuredale.catalog.Catalog
import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.directory.ServerDirectory
import azuredale.gateway.FleetBounds
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.Revision
import azuredale.identity.ServerId
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class StoreViewSpec {
    private val view = StoreView(FleetBounds())
    private val start = Timestamp.ofMilliseconds(1_000_000)

    private fun after(milliseconds: Long) = start.plusMilliseconds(milliseconds)

    private fun catalog(revision: Long) =
        Catalog(Revision(revision), revision, emptyList(), emptyList(), emptyList(), CallerLimits())

    private fun directory(revision: Long, vararg names: String) = ServerDirectory(
        revision,
        names.withIndex().associate { (index, name) ->
            ServerId(name) to
                BackendEntry(
                    ServerId(name),
                    PoolId("p"),
                    NetworkAddress("10.0.0.$index", 80),
                    FailureDomain("a"),
                    slots = 4,
                    state = BackendState.READY,
                )
        },
    )

    @Nested
    inner class CatalogInForce {
        @Test
        fun `is not replaced by an older revision from a late response`() {
            // Guards against a removed key or route that works again after a slow response.
            assertTrue(view.adoptCatalog(catalog(7), start))
            assertFalse(view.adoptCatalog(catalog(5), after(100)))
            assertEquals(Revision(7), view.revision)
        }

        @Test
        fun `is fresh from the time at which the read was sent`() {
            // Guards against a proof that is dated from a response which took seconds to arrive.
            view.adoptCatalog(catalog(7), start)
            assertTrue(view.isCatalogFresh(after(4_200)))
            assertFalse(view.isCatalogFresh(after(4_400)), "700 ms of the bound cover the transit to the server")
        }

        @Test
        fun `is not confirmed by a proof for another revision`() {
            // Guards against a peer with an older or newer catalog that confirms this one.
            view.adoptCatalog(catalog(7), start)
            view.confirmCatalog(Revision(8), after(3_000))
            view.confirmCatalog(Revision(6), after(3_000))
            assertFalse(view.isCatalogFresh(after(5_000)))
            view.confirmCatalog(Revision(7), after(3_000))
            assertTrue(view.isCatalogFresh(after(5_000)))
        }

        @Test
        fun `is not fresh after a suspension`() {
            // Guards against a VM that resumes and accepts keys revoked during its suspension.
            view.adoptCatalog(catalog(7), start)
            view.invalidateProofs()
            assertFalse(view.isCatalogFresh(after(1)))
        }
    }

    @Nested
    inner class Directory {
        @Test
        fun `ignores a read that is older than the one in force`() {
            // Guards against a drained server that gets new requests after a slow response.
            view.adoptDirectory(directory(10, "a"), start, outageUntil = null)
            assertNull(view.adoptDirectory(directory(9, "a", "b"), after(10), outageUntil = null))
            assertEquals(setOf(ServerId("a")), view.directory.entries.keys)
        }

        @Test
        fun `removes a server at once while the store is available`() {
            view.adoptDirectory(directory(10, "a", "b"), start, outageUntil = null)
            view.adoptDirectory(directory(11, "a"), after(500), outageUntil = null)
            assertEquals(setOf(ServerId("a")), view.directory.entries.keys)
        }

        @Test
        fun `retains servers whose registrations expired during a store outage until they had time to register`() {
            // Guards against a pool that appears empty after an outage, and against servers that are never removed.
            view.adoptDirectory(directory(10, "a", "b"), start, outageUntil = null)
            assertNotNull(view.adoptDirectory(directory(11, "a"), after(6_000), outageUntil = after(5_800)))
            assertEquals(2, view.directory.entries.size)
            assertFalse(view.isRetentionOver(after(7_000)))
            view.confirmDirectory(view.directoryDigest, after(7_500))
            assertTrue(view.isRetentionOver(after(8_300)))
            view.adoptDirectory(directory(12, "a"), after(8_300), outageUntil = null)
            assertEquals(setOf(ServerId("a")), view.directory.entries.keys)
        }

        @Test
        fun `retains no server for longer than a router that was cut off alone may use it`() {
            // Guards against a router that was cut off from the store, reads it late and then uses servers that have left.
            view.adoptDirectory(directory(10, "a", "b"), start, outageUntil = null)
            view.adoptDirectory(directory(11, "a"), after(14_200), outageUntil = after(12_700))
            assertEquals(2, view.directory.entries.size)
            assertFalse(view.isRetentionOver(after(15_300)))
            assertTrue(view.isRetentionOver(after(15_400)))
        }

        @Test
        fun `removes a server at once after a long pause of this router`() {
            // Guards against a router that takes its own delay for an outage and keeps using servers that have left.
            view.adoptDirectory(directory(10, "a", "b"), start, outageUntil = null)
            view.adoptDirectory(directory(11, "a"), after(6_000), outageUntil = null)
            assertEquals(setOf(ServerId("a")), view.directory.entries.keys)
        }

        @Test
        fun `is fresh for the bound on requests to leaving servers, less the transit`() {
            // Guards against a router that sends requests to servers whose leaving it cannot know yet.
            view.adoptDirectory(directory(10, "a"), start, outageUntil = null)
            assertTrue(view.isDirectoryFresh(after(1_700)))
            assertFalse(view.isDirectoryFresh(after(1_701)))
            view.confirmDirectory(view.directoryDigest, after(1_000))
            assertTrue(view.isDirectoryFresh(after(2_700)))
            view.invalidateProofs()
            assertFalse(view.isDirectoryFresh(after(2_700)))
        }

        @Test
        fun `does not retain a server whose address another server has taken`() {
            // Guards against requests to an address that now belongs to a server of another pool.
            view.adoptDirectory(directory(10, "a"), start, outageUntil = null)
            view.adoptDirectory(directory(11, "new"), after(6_000), outageUntil = after(5_800))
            assertEquals(setOf(ServerId("new")), view.directory.entries.keys)
        }
    }
}
