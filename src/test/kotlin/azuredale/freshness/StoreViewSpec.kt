package azuredale.freshness

import azuredale.catalog.CallerLimits
import azuredale.catalog.Catalog
import azuredale.catalog.CatalogMark
import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.directory.ServerDirectory
import azuredale.gateway.FleetBounds
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.BeforeTest
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

    private fun mark(revision: Long) = CatalogMark(StorePoint(StoreEra.NONE, revision), version = revision)

    private fun catalog(revision: Long) = catalog(mark(revision))

    private fun catalog(mark: CatalogMark) = Catalog(mark, emptyList(), emptyList(), emptyList(), CallerLimits())

    private fun directory(revision: Long, vararg names: String) = ServerDirectory(
        StorePoint(StoreEra.NONE, revision),
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
            assertEquals(mark(7), view.catalogMark)
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
            view.confirmCatalog(mark(8), after(3_000))
            view.confirmCatalog(mark(6), after(3_000))
            assertFalse(view.isCatalogFresh(after(5_000)))
            view.confirmCatalog(mark(7), after(3_000))
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

    /** The store has returned from an older copy at [returnedAt]. */
    @Nested
    inner class LaterEra {
        private val returnedAt = after(1_000)
        private val settledAt = after(4_000)

        private fun later(revision: Long, version: Long) =
            catalog(CatalogMark(StorePoint(StoreEra(2), revision), version))

        private fun laterDirectory(revision: Long, vararg entries: BackendEntry) =
            ServerDirectory(StorePoint(StoreEra(2), revision), entries.associateBy { it.id })

        private fun server(name: String, state: BackendState = BackendState.READY) = BackendEntry(
            ServerId(name),
            PoolId("p"),
            NetworkAddress("10.0.0.1", 80),
            FailureDomain("a"),
            4,
            state = state,
        )

        @BeforeTest
        fun returns() {
            view.adoptCatalog(catalog(7), start)
            view.history.recordEra(StoreEra(1), start)
            view.history.recordEra(StoreEra(2), returnedAt)
        }

        @Test
        fun `proves nothing until operators had time to write again`() {
            // Guards against a catalog of the copy that is taken for the newest one.
            assertFalse(view.adoptCatalog(later(5, version = 5), after(1_100)))
            assertEquals(mark(7), view.catalogMark)
            assertFalse(view.isCatalogFresh(after(4_400)), "proven by a read of the copy")
            assertTrue(view.adoptCatalog(later(6, version = 7), after(3_900)))
            assertFalse(view.isCatalogFresh(after(4_400)), "proven before the era was settled")
            view.confirmRead(view.catalogMark, settledAt)
            assertTrue(view.isCatalogFresh(after(8_300)))
        }

        @Test
        fun `proves no catalog under a revision that has been given out again`() {
            // Guards against the known catalog that is proven by another one with the same revision.
            val other = later(7, version = 8)
            assertTrue(view.adoptCatalog(other, after(1_100)))
            assertEquals(8, view.catalogMark.version)
            view.confirmCatalog(mark(7), settledAt)
            assertFalse(view.isCatalogFresh(after(4_400)))
        }

        @Test
        fun `does not prove a catalog while a newer one is lost`() {
            // Guards against a router that has started on the copy, while others know what the copy lacks.
            val started = StoreView(FleetBounds(), StoreHistory(firstStartAt = null, settlingMilliseconds = 3_000))
            started.history.recordEra(StoreEra(2), returnedAt)
            started.recordMark(mark(7))
            started.adoptCatalog(later(5, version = 5), settledAt)
            assertFalse(started.isCatalogFresh(settledAt))
            started.adoptCatalog(later(6, version = 7), after(4_500))
            assertTrue(started.isCatalogFresh(after(4_500)))
        }

        @Test
        fun `is refused for good by no version that was written again`() {
            // Guards against a lower version that operators write later, which is compared with the earlier era.
            view.adoptCatalog(later(6, version = 7), settledAt)
            assertTrue(view.adoptCatalog(later(8, version = 6), after(9_000)))
            assertTrue(view.isCatalogFresh(after(9_000)))
        }

        @Test
        fun `is not settled at once if the store named none before`() {
            // Guards against a return that is taken for the first start of the whole system.
            val history = StoreHistory(firstStartAt = start, settlingMilliseconds = 3_000)
            history.recordEra(StoreEra.NONE, start)
            assertTrue(history.isSettled(start))
            history.recordEra(StoreEra(1), returnedAt)
            assertFalse(history.isSettled(after(3_999)))
            assertTrue(history.isSettled(settledAt))
        }

        @Test
        fun `is not proven by a late answer of the earlier one`() {
            view.confirmRead(mark(7), after(5_000))
            assertFalse(view.isCatalogFresh(after(5_000)))
        }

        @Test
        fun `does not return servers that drained or left before it`() {
            // Guards against requests to servers that left between the copy and the store's return.
            view.adoptDirectory(directory(10, "a", "b"), start, outageUntil = null)
            view.adoptDirectory(directory(11, "a"), after(500), outageUntil = null)
            val left = checkNotNull(directory(10, "a", "b").entries[ServerId("b")])
            val stays = checkNotNull(directory(10, "a").entries[ServerId("a")])
            listOf(1_000L, 1_100L, 5_900L).forEach {
                view.adoptDirectory(laterDirectory(9, stays, left), after(it), outageUntil = null)
                assertFalse(view.directory.isReady(ServerId("b")), "ready at $it ms")
                assertTrue(view.directory.isReady(ServerId("a")))
            }
            view.adoptDirectory(laterDirectory(9, stays, left), after(6_100), outageUntil = null)
            assertTrue(view.directory.isReady(ServerId("b")), "its registration has not expired in time")
        }

        @Test
        fun `retains servers that the copy lacks until they had time to register`() {
            // Guards against a pool that appears empty because its servers are newer than the copy.
            view.adoptDirectory(directory(10, "a"), start, outageUntil = null)
            view.adoptDirectory(laterDirectory(8), returnedAt, outageUntil = null)
            assertTrue(view.directory.isReady(ServerId("a")))
            view.adoptDirectory(laterDirectory(9, server("c")), after(3_300), outageUntil = null)
            assertEquals(setOf(ServerId("c")), view.directory.entries.keys)
        }

        @Test
        fun `has servers whose registrations had expired in an outage before it`() {
            // Guards against live servers that are taken for departed ones.
            view.adoptDirectory(directory(10, "a"), start, outageUntil = null)
            view.adoptDirectory(directory(11), after(900), outageUntil = after(800))
            val copy = checkNotNull(directory(10, "a").entries[ServerId("a")])
            view.adoptDirectory(laterDirectory(9, copy), returnedAt, outageUntil = null)
            assertTrue(view.directory.isReady(ServerId("a")))
        }

        @Test
        fun `has a server that comes back after it`() {
            view.adoptDirectory(directory(10, "a"), start, outageUntil = null)
            view.adoptDirectory(laterDirectory(8, server("d", BackendState.DRAINING)), returnedAt, outageUntil = null)
            view.adoptDirectory(laterDirectory(9, server("d")), after(1_200), outageUntil = null)
            assertTrue(view.directory.isReady(ServerId("d")))
        }
    }
}
