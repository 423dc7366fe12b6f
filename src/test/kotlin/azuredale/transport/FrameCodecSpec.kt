package azuredale.transport

import azuredale.identity.AdapterName
import azuredale.identity.Incarnation
import azuredale.identity.ModelVersion
import azuredale.identity.PoolId
import azuredale.identity.RequestNumber
import azuredale.identity.Revision
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
import azuredale.protocol.RunningGrant
import azuredale.protocol.ServedCounter
import azuredale.protocol.Settle
import azuredale.protocol.ShardId
import azuredale.protocol.TeamDemand
import azuredale.protocol.WaitingHead
import azuredale.protocol.Withdraw
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs

private val shard = ShardId(PoolId("models"), 1)

/** One message of every type, with every field different from its default. */
internal val sampleMessages: List<PeerMessage> =
    run {
        val head = WaitingHead(RequestNumber(9), 4.5, -77L, ModelVersion("tide@3"), AdapterName("claims"))
        val demand = TeamDemand(TeamId("harbour"), 12, listOf(head, WaitingHead(RequestNumber(10))))
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
        fun `gives every subtype a type number and a sample`() {
            // Guards against a new message that compiles but cannot be sent.
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
        fun `returns equal messages, in one frame and in later frames`() {
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
}
