package azuredale.platform

import azuredale.identity.NetworkAddress
import azuredale.selftest.RawServer
import azuredale.standin.PlatformFaults
import azuredale.store.CallFailureReason
import azuredale.store.CallRateLimiter
import azuredale.store.KeyVersion
import azuredale.store.LeaseResult
import azuredale.store.ListResult
import azuredale.store.ReadResult
import azuredale.store.StoreEra
import azuredale.store.VersionResult
import azuredale.store.WatchEvent
import azuredale.store.WriteResult
import io.vertx.core.buffer.Buffer
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.produceIn
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class StoreClientSpec {
    private val value = "value \u0000 \u00e9".encodeToByteArray()
    private val other = "other".encodeToByteArray()

    /** What the result of a write says about its effect. */
    enum class Effect { WRITTEN, NOT_WRITTEN, UNKNOWN }

    /** Injected fault, the effect that the client must report for a write, and whether the value is stored then. */
    enum class FaultCase(
        val faults: PlatformFaults,
        val effect: Effect,
        val isStored: Boolean,
    ) {
        NONE(PlatformFaults(), Effect.WRITTEN, true),
        SLOW_WITHIN_DEADLINE(PlatformFaults(delayMilliseconds = 100), Effect.WRITTEN, true),
        SLOW_PAST_DEADLINE(PlatformFaults(delayMilliseconds = 5_000), Effect.UNKNOWN, true),
        LOST_REPLY(PlatformFaults(lostReplies = 1), Effect.UNKNOWN, true),
        LOST_REQUEST(PlatformFaults(lostRequests = 1), Effect.UNKNOWN, false),
        OUTAGE(PlatformFaults(isDown = true), Effect.UNKNOWN, false),
        INTERNAL_ERROR(PlatformFaults(errorStatus = 500), Effect.UNKNOWN, false),
        RATE_LIMITED(PlatformFaults(errorStatus = 429), Effect.NOT_WRITTEN, false),
        REFUSED(PlatformFaults(errorStatus = 400), Effect.NOT_WRITTEN, false),
    }

    private fun effectOf(result: WriteResult) = when (result) {
        is WriteResult.Written -> Effect.WRITTEN
        is WriteResult.NotWritten, is WriteResult.Conflict -> Effect.NOT_WRITTEN
        is WriteResult.Unknown -> Effect.UNKNOWN
    }

    @Nested
    inner class Writing {
        @ParameterizedTest
        @EnumSource(FaultCase::class)
        fun `reports whether the write took effect`(case: FaultCase) = PlatformFixture.run {
            // Guards against reporting that nothing was written when the value is stored, or the reverse.
            standIn.faults = case.faults
            val result = client.write("/k", value, KeyVersion.ABSENT, deadline(600))
            assertEquals(case.effect, effectOf(result), result.toString())
            standIn.faults = PlatformFaults()
            val read = client.read("/k", deadline())
            if (case.isStored) assertContentEquals(value, assertIs<ReadResult.Found>(read).stored.bytes)
            if (!case.isStored) assertIs<ReadResult.Missing>(read)
        }

        @Test
        fun `returns the present value when the version differs`() = PlatformFixture.run {
            // Guards against a lost update: a second writer overwrites a value that it has not read.
            val first = assertIs<WriteResult.Written>(client.write("/k", value, KeyVersion.ABSENT, deadline()))
            val conflict = assertIs<WriteResult.Conflict>(client.write("/k", other, KeyVersion.ABSENT, deadline()))
            assertEquals(first.version, conflict.current?.version)
            assertContentEquals(value, conflict.current?.bytes)
            assertIs<WriteResult.Written>(client.write("/k", other, first.version, deadline()))
            val late = assertIs<WriteResult.Conflict>(client.write("/k", value, first.version, deadline()))
            assertContentEquals(other, late.current?.bytes)
        }

        @Test
        fun `reports that nothing was written when the connection is refused`() = PlatformFixture.run {
            val free = ServerSocket(0).use { it.localPort }
            val dead = StoreClient(vertx, NetworkAddress("127.0.0.1", free), rateLimiter, clock)
            val result = dead.write("/k", value, KeyVersion.ABSENT, deadline())
            assertEquals(CallFailureReason.NOT_CONNECTED, assertIs<WriteResult.NotWritten>(result).failure.reason)
        }
    }

    @Nested
    inner class RateLimit {
        @Test
        fun `sends nothing once the rate limit is exhausted and counts a watch as a first read and one call`() =
            PlatformFixture.run { scope ->
                // Guards against a router that exceeds its share of the service's rate limit.
                val small = CallRateLimiter(callsPerSecond = 0.001, burst = 4, clock)
                val limited = StoreClient(vertx, address, small, clock)
                val watch = limited.watch("/k").produceIn(scope)
                assertEquals(WatchEvent.Started, watch.receive())
                while (standIn.openWatches == 0) delay(10)
                assertIs<ReadResult.Missing>(limited.read("/k", deadline()))
                val absent = VersionResult.Found(KeyVersion.ABSENT, StoreEra(1))
                assertEquals(absent, limited.readVersion("/k", deadline()))
                val result = limited.write("/k", value, KeyVersion.ABSENT, deadline())
                assertEquals(
                    CallFailureReason.BUDGET_EXHAUSTED,
                    assertIs<WriteResult.NotWritten>(result).failure.reason,
                )
                assertEquals(4, standIn.callsReceived)
                assertEquals(4, small.allowed)
                watch.cancel()
            }
    }

    @Nested
    inner class Reading {
        @Test
        fun `ends at its deadline`() = PlatformFixture.run {
            standIn.faults = PlatformFaults(delayMilliseconds = 60_000)
            val start = clock()
            val result = client.read("/k", deadline(300))
            assertEquals(CallFailureReason.DEADLINE_PASSED, assertIs<ReadResult.Failed>(result).failure.reason)
            assertTrue(clock().secondsSince(start) < 5, "a read with a deadline of 0.3 s took 5 s")
        }
    }

    @Nested
    inner class Listing {
        @Test
        fun `lists every page of the keys under its prefix and no others`() = PlatformFixture.run {
            // Guards against servers that are missed because they are not on the first page of the list.
            val keys = (1000 until 1600).map { "s/$it" }
            keys.forEach { client.write(it, it.encodeToByteArray(), KeyVersion.ABSENT, deadline()) }
            client.write("t/1", value, KeyVersion.ABSENT, deadline())
            val found = assertIs<ListResult.Found>(client.list("s/", deadline()))
            assertEquals(keys, found.items.map { it.key })
        }
    }

    @Nested
    inner class Leases {
        @Test
        fun `removes the key with its lease and reports the end of the lease`() = PlatformFixture.run {
            // Guards against a holder that continues after its lease ended during a pause of its process.
            val held = assertIs<LeaseResult.Held>(client.grantLease(10, deadline()))
            assertTrue(held.deadline <= clock().plusSeconds(10))
            assertIs<WriteResult.Written>(client.write("/k", value, KeyVersion.ABSENT, deadline(), held.lease))
            assertEquals(held.lease, assertIs<LeaseResult.Held>(client.keepAlive(held.lease, deadline())).lease)
            standIn.endLeases()
            assertEquals(LeaseResult.Ended, client.keepAlive(held.lease, deadline()))
            assertIs<ReadResult.Missing>(client.read("/k", deadline()))
            val late = client.write("/k", value, KeyVersion.ABSENT, deadline(), held.lease)
            assertEquals(CallFailureReason.LEASE_ENDED, assertIs<WriteResult.NotWritten>(late).failure.reason)
        }

        @Test
        fun `ends a lease that is not kept alive`() = PlatformFixture.run {
            val held = assertIs<LeaseResult.Held>(client.grantLease(1, deadline()))
            client.write("/k", value, KeyVersion.ABSENT, deadline(), held.lease)
            while (client.read("/k", deadline()) !is ReadResult.Missing) delay(50)
            assertTrue(clock() >= held.deadline, "the lease ended before the deadline reported to its holder")
            assertEquals(LeaseResult.Ended, client.revoke(held.lease, deadline()))
        }
    }

    @Nested
    inner class Watching {
        @Test
        fun `reports changes in order and the break of the watch`() = PlatformFixture.run { scope ->
            // Guards against a broken watch that cannot be distinguished from one without changes.
            val watch = client.watch("/k").produceIn(scope)
            assertEquals(WatchEvent.Started, watch.receive())
            val first = assertIs<WriteResult.Written>(client.write("/k", value, KeyVersion.ABSENT, deadline()))
            client.write("/unwatched", value, KeyVersion.ABSENT, deadline())
            client.write("/k", other, first.version, deadline())
            val changes = List(2) { assertIs<WatchEvent.Changed>(watch.receive()).stored.bytes.decodeToString() }
            assertEquals(listOf(value.decodeToString(), other.decodeToString()), changes)
            while (standIn.openWatches == 0) delay(10)
            standIn.breakWatches()
            assertIs<WatchEvent.Broken>(watch.receive())
            assertTrue(watch.receiveCatching().isClosed)
        }

        @Test
        fun `ends the call at the service when the reader stops`() = PlatformFixture.run { scope ->
            // Guards against watches that stay open at the service, and count there, after their reader stopped.
            val watch = client.watch("/k").produceIn(scope)
            assertEquals(WatchEvent.Started, watch.receive())
            while (standIn.openWatches == 0) delay(10)
            watch.cancel()
            while (standIn.openWatches > 0) delay(10)
        }

        @Test
        fun `reports a broken watch when the history is discarded`() = PlatformFixture.run { scope ->
            // Guards against a watch that silently continues after it has missed changes.
            val watch = client.watch("/k").produceIn(scope)
            assertEquals(WatchEvent.Started, watch.receive())
            while (standIn.openWatches == 0) delay(10)
            standIn.forgetHistory()
            assertIs<WatchEvent.Broken>(watch.receive())
        }

        @Test
        fun `reports a broken watch when the service returns from an older copy`() = PlatformFixture.run { scope ->
            // Guards against a reader that takes the state of the copy for the continuation of what it has read.
            standIn.copy()
            client.write("/k", value, KeyVersion.ABSENT, deadline())
            val found = assertIs<ReadResult.Found>(client.read("/k", deadline()))
            val watch = client.watch("/k").produceIn(scope)
            assertEquals(WatchEvent.Started, watch.receive())
            while (standIn.openWatches == 0) delay(10)
            standIn.restore()
            assertIs<WatchEvent.Broken>(watch.receive())
            assertEquals(ReadResult.Missing(StoreEra(found.era.number + 1)), client.read("/k", deadline()))
        }

        @Test
        fun `reports a broken watch when the service is down from the start`() = PlatformFixture.run { scope ->
            standIn.faults = PlatformFaults(isDown = true)
            assertIs<WatchEvent.Broken>(client.watch("/k").produceIn(scope).receive())
        }
    }

    @Nested
    inner class BodiesWithoutEnd {
        @Test
        fun `are given up at a bound`() = PlatformFixture.run {
            // Guards against whatever answers at the store's address and fills the memory of a router.
            val endless = RawServer(vertx)
            val server =
                vertx.createNetServer().connectHandler { socket ->
                    socket.handler {
                        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n")
                        endless.sendWithoutEnd(socket, Buffer.buffer("b".repeat(65_536)), maximumBytes = 64L * MEGABYTE)
                    }
                }
            val port = server.listen(0, "127.0.0.1").coAwait().actualPort()
            val client = StoreClient(vertx, NetworkAddress("127.0.0.1", port), rateLimiter, clock)
            val failed = assertIs<ReadResult.Failed>(client.read("key", deadline(3_000)))
            assertEquals(CallFailureReason.ANSWER_LOST, failed.failure.reason)
            assertTrue(endless.bytesSent.get() < 16 * MEGABYTE, "${endless.bytesSent} bytes accepted")
        }
    }

    private companion object {
        const val MEGABYTE = 1024 * 1024
    }
}
