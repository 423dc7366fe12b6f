package azuredale.freshness

import azuredale.directory.ServerDirectory
import azuredale.gateway.FleetBounds
import azuredale.gateway.StorePoller
import azuredale.identity.FailureDomain
import azuredale.logging.EventLog
import azuredale.store.CallFailure
import azuredale.store.CallFailureReason
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import azuredale.time.Timestamp
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Failure pattern: operators evacuate a failure domain while the store is silent, or a router has just started. */
class EvacuationsSpec {
    private val start = Timestamp.ofMilliseconds(1_000_000)
    private val domain = FailureDomain("a")
    private val changes = ArrayList<Set<FailureDomain>>()
    private val view =
        StoreView(FleetBounds(evacuationBoundMilliseconds = 5_000)) { _, after -> changes += after }
    private val evacuations = view.evacuations

    private fun after(milliseconds: Long) = start.plusMilliseconds(milliseconds)

    private fun table(revision: Long, vararg domains: String) =
        EvacuationTable(StorePoint(StoreEra.NONE, revision), domains.mapTo(HashSet(), ::FailureDomain))

    @Nested
    inner class Table {
        @Test
        fun `of a lower revision changes nothing, but its proof counts`() {
            // Guards against a late answer or report that lifts an evacuation.
            evacuations.adopt(table(7, "a"), start, isSettled = true)
            evacuations.adopt(table(6), after(1_000), isSettled = true)
            assertTrue(evacuations.isEvacuated(domain))
            assertTrue(evacuations.isFresh(after(5_700)))
            assertFalse(evacuations.isFresh(after(5_701)))
        }

        @Test
        fun `of a higher revision without a proof keeps the earlier proof`() {
            // Guards against a report of unknown age that makes a table look recent, or old.
            evacuations.adopt(table(7), start, isSettled = true)
            evacuations.adopt(table(8, "a"), Timestamp.DISTANT_PAST, isSettled = true)
            assertTrue(evacuations.isEvacuated(domain))
            assertTrue(evacuations.isFresh(after(4_700)))
            assertFalse(evacuations.isFresh(after(4_701)))
        }

        @Test
        fun `of a later era lifts no evacuation before it is settled`() {
            // Guards against requests to a domain whose evacuation the store lost when it returned from an older copy.
            evacuations.adopt(table(7, "a"), start, isSettled = true)
            val copy = EvacuationTable(StorePoint(StoreEra(1), 6), setOf(FailureDomain("b")))
            evacuations.adopt(copy, after(100), isSettled = false)
            assertTrue(evacuations.isEvacuated(domain) && evacuations.isEvacuated(FailureDomain("b")))
            evacuations.adopt(copy.copy(domains = emptySet()), after(200), isSettled = true)
            assertFalse(evacuations.isEvacuated(domain))
        }

        @Test
        fun `of an earlier era, if it is heard late, evacuates until the later one is settled`() {
            // Guards against an evacuation that another router knows, while this one has read the copy.
            val copy = EvacuationTable(StorePoint(StoreEra(1), 6), emptySet())
            evacuations.adopt(copy, Timestamp.DISTANT_PAST, isSettled = false)
            evacuations.adopt(table(7, "a"), after(50), isSettled = false)
            assertTrue(evacuations.isEvacuated(domain))
            assertEquals(copy, evacuations.table, "what was read is passed on")
            evacuations.adopt(copy, after(200), isSettled = true)
            assertFalse(evacuations.isEvacuated(domain))
        }

        @Test
        fun `reports changes only`() {
            evacuations.adopt(table(7), start, isSettled = true)
            evacuations.adopt(table(8, "a"), start, isSettled = true)
            evacuations.adopt(table(9, "a"), start, isSettled = true)
            evacuations.adopt(table(10), start, isSettled = true)
            assertEquals(listOf(setOf(domain), emptySet()), changes)
        }

        @Test
        fun `is ignored where operators evacuate no failure domains`() {
            val without = Evacuations(null) { _, _ -> }
            without.adopt(table(8, "a"), start, isSettled = true)
            assertFalse(without.isEvacuated(domain))
            assertTrue(without.isKnown && without.isFresh(after(60_000)))
        }
    }

    @Nested
    inner class Requests {
        private var answer: (() -> EvacuationTable)? = { table(5) }
        private var now = start
        private val reader =
            object : StoreReader {
                private val failure = CallFailure(CallFailureReason.REFUSED, "down")

                override suspend fun readCatalog(isKnown: (StorePoint) -> Boolean, deadline: Timestamp) =
                    answer?.let { OperatorRead(CatalogRead.Missing(), it()) }
                        ?: OperatorRead(CatalogRead.Failed(failure))

                override suspend fun readDirectory(deadline: Timestamp) =
                    answer?.let { DirectoryRead.Found(ServerDirectory.EMPTY, emptyMap()) }
                        ?: DirectoryRead.Failed(failure)
            }
        private val poller = StorePoller(view, reader, { now }, { 0 }, { 0 }, { false }, EventLog("test"), {}, {})

        private fun read(milliseconds: Long) = runBlocking {
            now = after(milliseconds)
            poller.readDirectory()
            poller.readCatalog()
        }

        @Test
        fun `wait for the first table, also while the store is silent`() {
            // Guards against a router that starts during an outage and sends to servers evacuated before it.
            answer = null
            read(0)
            assertNotNull(poller.directoryFault(now))
            evacuations.adopt(table(5, "a"), Timestamp.DISTANT_PAST, isSettled = true)
            assertNull(poller.directoryFault(now), "another router told it what binds")
        }

        @Test
        fun `keep to the last table while the store is silent`() {
            answer = { table(5, "a") }
            read(0)
            answer = null
            read(10_000)
            assertNull(poller.directoryFault(now))
            assertTrue(evacuations.isEvacuated(domain))
        }

        @Test
        fun `are refused if the table is old although the store answers`() {
            // Guards against a router whose reads of the operators' keys alone are late.
            read(0)
            now = after(4_800)
            runBlocking { poller.readDirectory() }
            assertNotNull(poller.directoryFault(now))
            read(4_900)
            assertNull(poller.directoryFault(now))
        }
    }
}
