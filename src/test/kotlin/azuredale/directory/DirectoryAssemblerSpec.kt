package azuredale.directory

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class DirectoryAssemblerSpec {
    private val now = Timestamp.ofMilliseconds(1_000_000)
    private val assembler = DirectoryAssembler()

    private fun entry(name: String, state: BackendState = BackendState.READY) = BackendEntry(
        ServerId(name),
        PoolId("p"),
        NetworkAddress("10.0.0.1", name.hashCode() and 0xfff),
        FailureDomain("a"),
        slots = 4,
        state = state,
    )

    private fun directory(revision: Long, vararg entries: BackendEntry) =
        ServerDirectory(StorePoint(StoreEra.NONE, revision), entries.associateBy { it.id })

    private fun ServerDirectory.version() = DirectoryVersion(point, entries.size, digest)

    /** Changes that a router passes on which has read [snapshots] one after the other. */
    private fun changes(vararg snapshots: ServerDirectory): List<RegistrationChange> {
        val recent = RecentRegistrations()
        snapshots.forEach { recent.update(it, isOwnRead = true, now) }
        return recent.select(100, isOwnRead = false, now)
    }

    private val first = directory(10, entry("a"), entry("b"))
    private val second = directory(20, entry("a", BackendState.DRAINING), entry("c"))

    @Nested
    inner class Completion {
        @Test
        fun `a copy becomes the sender's directory, whatever the copy's age`() {
            // Guards against reads of the store by routers that read it between two reads of the sender.
            val between = directory(15, entry("a"), entry("b"), entry("c"))
            listOf(ServerDirectory.EMPTY, first, between).forEach { base ->
                val assembled = DirectoryAssembler().assemble(base, changes(first, second), second.version())
                assertEquals(second.entries, assertNotNull(assembled).entries)
                assertEquals(StorePoint(StoreEra.NONE, 20), assembled.point)
            }
        }

        @Test
        fun `parts of a large change complete the copy in any order`() {
            // Guards against a datagram that grows with the number of servers that register at once.
            val all = directory(30, *Array(50) { entry("s$it") })
            val parts = changes(ServerDirectory.EMPTY, all).chunked(20).reversed()
            assertNull(assembler.assemble(ServerDirectory.EMPTY, parts[0], all.version()))
            assertNull(assembler.assemble(ServerDirectory.EMPTY, parts[1], all.version()))
            assertEquals(all.digest, assembler.assemble(ServerDirectory.EMPTY, parts[2], all.version())?.digest)
        }

        @Test
        fun `a copy that lacks an earlier change is left for a read of the store`() {
            // Guards against a server that stays registered at one router because a report was lost.
            val third = directory(30, entry("c"))
            val late = RecentRegistrations()
            late.update(second, isOwnRead = true, now.plusMilliseconds(-5_000))
            late.update(third, isOwnRead = true, now)
            val news = late.select(100, isOwnRead = false, now)
            assertNull(assembler.assemble(first, news, third.version()))
        }

        @Test
        fun `an older directory changes nothing`() {
            // Guards against a server that has left and returns with a late report.
            assertNull(assembler.assemble(second, changes(ServerDirectory.EMPTY, first), first.version()))
        }
    }

    @Nested
    inner class Passing {
        @Test
        fun `a router tells its relay only what it has read itself`() {
            // Guards against changes that routers send back to the relay they have them from.
            val recent = RecentRegistrations()
            recent.update(first, isOwnRead = false, now)
            assertEquals(0, recent.select(100, isOwnRead = true, now).size)
            assertEquals(2, recent.select(100, isOwnRead = false, now).size)
        }

        @Test
        fun `changes take turns and end`() {
            // Guards against reports that grow for good after many servers have registered.
            val recent = RecentRegistrations()
            val all = directory(30, *Array(50) { entry("s$it") })
            recent.update(all, isOwnRead = true, now)
            val sent = HashSet<ServerId>()
            repeat(3) {
                recent.select(20, isOwnRead = true, now).forEach { change -> sent += change.id }
                recent.update(all, isOwnRead = true, now)
            }
            assertEquals(50, sent.size)
            assertEquals(0, recent.select(20, isOwnRead = true, now.plusMilliseconds(2_000)).size)
        }
    }
}
