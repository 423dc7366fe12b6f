package azuredale.transport

import azuredale.identity.AdapterName
import azuredale.identity.Incarnation
import azuredale.identity.ModelVersion
import azuredale.identity.PoolId
import azuredale.identity.RequestNumber
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.protocol.BurnCount
import azuredale.protocol.BurnCounts
import azuredale.protocol.Demand
import azuredale.protocol.DocumentAnnounce
import azuredale.protocol.DocumentBody
import azuredale.protocol.DocumentRequest
import azuredale.protocol.Grant
import azuredale.protocol.GrantProgress
import azuredale.protocol.PeerMessage
import azuredale.protocol.Progress
import azuredale.protocol.Register
import azuredale.protocol.RegisterRequest
import azuredale.protocol.RequestOffer
import azuredale.protocol.RunningGrant
import azuredale.protocol.ServedCounter
import azuredale.protocol.Settle
import azuredale.protocol.ShardId
import azuredale.protocol.TeamDemand
import azuredale.protocol.Withdraw
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

private val shard = ShardId(PoolId("models"), 1)

/** One message of every type, with no field at its default value. */
internal val sampleMessages: List<PeerMessage> =
    run {
        val offer = RequestOffer(RequestNumber(9), 4.5, -77L, ModelVersion("tide@3"), AdapterName("claims"))
        val demand = TeamDemand(TeamId("harbour"), 12, listOf(offer, RequestOffer(RequestNumber(10))))
        val running = RunningGrant(RequestNumber(3), TeamId("harbour"), ServerId("s-1"), 812.25)
        listOf(
            Register(
                shard,
                Incarnation(44),
                listOf(ServedCounter(TeamId("orchard"), 1.5)),
                listOf(running),
                listOf(demand),
            ),
            RegisterRequest(shard, Incarnation(45)),
            Demand(shard, listOf(demand, TeamDemand(TeamId("orchard"), 0))),
            Withdraw(shard, listOf(RequestNumber(3), RequestNumber(1L shl 40))),
            Grant(shard, RequestNumber(9), ServerId("s-2")),
            Progress(shard, listOf(GrantProgress(RequestNumber(3), 900.0))),
            Settle(shard, RequestNumber(3), 931.5, hasServerFailed = true),
            DocumentAnnounce(Revision(8)),
            DocumentRequest(Revision(7)),
            DocumentBody(Revision(8), byteArrayOf(1, -2, 3)),
            BurnCounts(Incarnation(44), listOf(BurnCount(TeamId("orchard"), PoolId("models"), 29_000_000, 5, 2, 1))),
        )
    }

internal val testKey = ByteArray(32) { it.toByte() }

class FrameCodecSpec {
    private val here = FrameCodec(testKey, testKey)
    private val there = FrameCodec(testKey, testKey)

    private fun frames(codec: FrameCodec, messages: List<PeerMessage>): List<ByteArray> =
        assertIs<EncodeResult.Encoded>(codec.encode(messages)).frames

    private fun messages(codec: FrameCodec, frame: ByteArray): List<PeerMessage> =
        assertIs<FrameResult.Decoded>(codec.decode(frame), codec.toString()).messages

    @Nested
    inner class RoundTrip {
        @Test
        fun `every message class has a type number and a sample`() {
            // Guards against a new message class that compiles but cannot be sent.
            val subtypes =
                PeerMessage::class.java.permittedSubclasses
                    .map { it.kotlin }
                    .toSet()
            assertEquals(subtypes, MessageType.entries.map { it.messageClass }.toSet())
            assertEquals(subtypes, sampleMessages.map { it::class }.toSet())
            assertEquals(
                MessageType.entries.size,
                MessageType.entries
                    .map { it.number }
                    .toSet()
                    .size,
            )
        }

        @Test
        fun `decoding returns the encoded messages, in the first frame and in later ones`() {
            repeat(2) {
                val received = messages(there, frames(here, sampleMessages).single())
                assertEquals(sampleMessages.size, received.size)
                sampleMessages.zip(received).filter { it.first !is DocumentBody }.forEach { (sent, got) ->
                    assertEquals(sent, got)
                }
                val body = assertIs<DocumentBody>(received.single { it is DocumentBody })
                assertContentEquals(byteArrayOf(1, -2, 3), body.body)
            }
        }
    }

    @Nested
    inner class Names {
        private val grant = Grant(shard, RequestNumber(9), ServerId("a-server-with-a-long-name"))

        @Test
        fun `sends a name once per connection and direction`() {
            // Guards against names that are repeated in every message and dominate the control traffic.
            val (first, second) = List(2) { frames(here, listOf(grant)).single() }
            val names = grant.server.name.length + grant.shard.pool.name.length
            assertEquals(names + 3, first.size - second.size)
            messages(there, first)
            assertEquals(grant, messages(there, second).single())
        }

        @Test
        fun `encoding reports a full name table`() {
            val small = FrameCodec(testKey, testKey, FrameLimits(names = 2))
            frames(small, listOf(grant))
            val other = grant.copy(server = ServerId("s-9"))
            assertIs<EncodeResult.NamesExhausted>(small.encode(listOf(other)))
        }

        @Test
        fun `decoding refuses a frame that exceeds the maximum number of names`() {
            val small = FrameCodec(testKey, testKey, FrameLimits(names = 1))
            val refused = assertIs<FrameResult.Refused>(small.decode(frames(here, listOf(grant)).single()))
            assertEquals(FrameFault.TOO_MANY_NAMES, refused.fault)
        }

        @Test
        fun `MessageSizes returns the size of the encoded frame`() {
            val sizes = MessageSizes()
            val (a, b) = listOf("a", "b").map { RouterId(it) }
            repeat(2) { assertEquals(frames(here, listOf(grant)).single().size, sizes(a, b, grant)) }
            val empty = frames(here, emptyList()).single().size
            assertEquals(MessageSizes.FRAME_OVERHEAD_BYTES, empty)
            sampleMessages.forEach { sizes(b, a, it) }
            sampleMessages.forEach { println("${it::class.simpleName}: ${sizes(b, a, it) - empty} bytes in a frame") }
        }
    }

    @Nested
    inner class Bounds {
        private val limits = FrameLimits(frameBytes = 2_000)
        private val sender = FrameCodec(testKey, testKey, limits)
        private val body = DocumentBody(Revision(1), ByteArray(900))

        @Test
        fun `splits a batch that exceeds one frame, and leaves out a single message that exceeds a frame`() {
            val huge = DocumentBody(Revision(2), ByteArray(2_000))
            val result = assertIs<EncodeResult.Encoded>(sender.encode(listOf(body, huge, body, body)))
            assertEquals(1, result.oversized)
            assertTrue(result.frames.all { it.size <= limits.frameBytes + FrameCodec.LENGTH_BYTES })
            val receiver = FrameCodec(testKey, testKey, limits)
            assertEquals(listOf(2, 1), result.frames.map { messages(receiver, it).size })
        }

        @Test
        fun `refuses a repeated, reordered or otherwise invalid frame`() {
            val (first, second) = List(2) { frames(here, listOf(DocumentAnnounce(Revision(1)))).single() }

            fun fault(codec: FrameCodec, frame: ByteArray) = assertIs<FrameResult.Refused>(codec.decode(frame)).fault
            assertEquals(FrameFault.WRONG_SEQUENCE, fault(there, second))
            messages(there, first)
            assertEquals(FrameFault.WRONG_SEQUENCE, fault(there, first))
            assertEquals(FrameFault.WRONG_CODE, fault(FrameCodec(testKey, ByteArray(1)), first))
            val changed = first.copyOf().also { it[FrameCodec.LENGTH_BYTES] = 9 }
            assertEquals(FrameFault.UNKNOWN_VERSION, fault(FrameCodec(testKey, testKey), changed))
            assertEquals(FrameFault.LENGTH_MISMATCH, fault(FrameCodec(testKey, testKey), first + 0))
        }
    }
}
