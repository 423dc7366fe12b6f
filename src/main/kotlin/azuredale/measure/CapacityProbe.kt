package azuredale.measure

import azuredale.configuration.DocumentEnvelope
import azuredale.configuration.DocumentParser
import azuredale.configuration.DocumentWriter
import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.membership.DatagramCodec
import azuredale.membership.DatagramResult
import azuredale.membership.MembershipController
import azuredale.membership.toUpdate
import azuredale.node.NodeEffect
import azuredale.protocol.BurnCount
import azuredale.protocol.BurnCounts
import azuredale.protocol.ProbeKind
import azuredale.protocol.ProbeMessage
import azuredale.report.BurnKey
import azuredale.report.BurnTracker
import azuredale.report.EndedRequest
import azuredale.time.Timestamp
import azuredale.transport.MessageSizes
import kotlin.random.Random

/** Fills the tables and controllers of one router to [size] and measures heap, CPU time and encoded sizes. */
internal class CapacityProbe(
    private val size: CapacitySize,
    private val seed: Long,
) {
    private val fleet = CapacityFleet(size)
    private val start = Timestamp(1_700_000_000_000_000)

    fun rows(): List<CapacityRow> {
        val (accepted, documentHeap) = CapacityMeter.retainedHeap { fleet.accepted() }
        val (membership, memberHeap) = CapacityMeter.retainedHeap { filledMembership() }
        return documentRows(accepted.text, documentHeap) +
            memberRows(membership, memberHeap) +
            SharingProbe(size, accepted, membership::members, seed).rows() +
            burnRows()
    }

    private fun documentRows(text: String, heap: Double): List<CapacityRow> {
        val envelope = DocumentEnvelope(fleet.accepted().revision, "submission", text = text).encode()
        val rounds = maxOf(1, size.rounds / DOCUMENT_ROUNDS_DIVISOR)
        val compressed = DocumentEnvelope.compress(envelope)
        return listOf(
            CapacityRow("document heap, with text", heap, "bytes"),
            CapacityRow("document text", text.length.toDouble(), "bytes"),
            CapacityRow("document envelope in the key-value service", envelope.size.toDouble(), "bytes"),
            CapacityRow("document body to peers, compressed", compressed.size.toDouble(), "bytes"),
            CapacityRow(
                "document parse",
                CapacityMeter.microseconds(rounds) { DocumentParser.parse(text) },
                "us/change",
            ),
            CapacityRow(
                "document write",
                fleet.document().let { CapacityMeter.microseconds(rounds) { _ -> DocumentWriter.write(it) } },
                "us/change",
            ),
        )
    }

    private fun filledMembership(): MembershipController {
        val own = fleet.members.first()
        val other = fleet.members[1]
        val controller = MembershipController(own, listOf(other.probeAddress), Random(seed))
        val codec = DatagramCodec(ByteArray(KEY_BYTES))
        // Encodes and decodes each update, so that the table holds its own names and addresses, as in a router.
        fleet.members.drop(1).forEach { member ->
            val update = member.toUpdate(withProfile = true)
            val message = ProbeMessage(ProbeKind.PING, member.router, 0, updates = listOf(update))
            val decoded = codec.decode(codec.encode(message)) as DatagramResult.Decoded
            controller.datagramReceived(member.probeAddress, decoded.message, start)
        }
        check(controller.members().size == size.routers) { "${controller.members().size} of ${size.routers} members" }
        return controller
    }

    private fun memberRows(controller: MembershipController, heap: Double): List<CapacityRow> {
        val codec = DatagramCodec(ByteArray(KEY_BYTES))
        val sent = ArrayList<Int>()
        var now = start
        // Every ping is acknowledged at once; the second measurement receives a ping from each member in turn.
        val tick =
            CapacityMeter.microseconds(size.rounds) {
                now = now.plusMilliseconds(TICK)
                controller.tick(now).filterIsInstance<NodeEffect.SendDatagram>().forEach { effect ->
                    sent += codec.encode(effect.message).size
                    answer(controller, effect, now)
                }
            }
        val datagram =
            CapacityMeter.microseconds(size.rounds) { round ->
                val from = fleet.members[1 + round % (fleet.members.size - 1)]
                val message = ProbeMessage(ProbeKind.PING, from.router, round.toLong())
                codec.decode(codec.encode(message))
                controller.datagramReceived(from.probeAddress, message, now)
            }
        val seconds = 2.0 * size.rounds * TICK / MILLISECONDS
        return listOf(
            CapacityRow("member heap", heap, "bytes"),
            CapacityRow("member heap per member", heap / size.routers, "bytes/member"),
            CapacityRow("member tick, with its datagrams", tick, "us/tick"),
            CapacityRow("member datagram received", datagram, "us/datagram"),
            CapacityRow("member datagrams sent by ticks", sent.size / seconds, "1/s"),
            CapacityRow("member datagram size", sent.average(), "bytes"),
        )
    }

    private fun answer(controller: MembershipController, effect: NodeEffect.SendDatagram, now: Timestamp) {
        val peer = fleet.members.first { it.probeAddress == effect.to }
        val ping = effect.message
        val reply =
            ProbeMessage(
                ProbeKind.ACKNOWLEDGEMENT,
                peer.router,
                ping.sequence,
                fingerprint = ping.fingerprint,
            )
        controller.datagramReceived(peer.probeAddress, reply, now)
    }

    private fun burnRows(): List<CapacityRow> {
        val keys =
            List(size.teams) { it }.flatMap { team ->
                fleet.poolsOf(team).map { BurnKey(TeamId("team-$team"), it) }
            }
        val self = fleet.members.first().router
        val counts = keys.take(COUNTS).map { BurnCount(it.team, it.pool, start.microseconds / MINUTE, 1, 0, 0) }
        val message = BurnCounts(Incarnation(1), counts)
        val (tracker, heap) = CapacityMeter.retainedHeap { filledTracker(keys) }
        val (_, mergedHeap) =
            CapacityMeter.retainedHeap {
                filledTracker(keys).also { filled ->
                    fleet.members.drop(1).forEach { filled.merge(it.router, message, start) }
                }
            }
        val request =
            CapacityMeter.microseconds(
                size.rounds,
            ) { tracker.requestEnded(keys[it % keys.size], ended, start) }
        val rounds = maxOf(1, size.rounds / BURN_ROUNDS_DIVISOR)
        val merge =
            CapacityMeter.microseconds(rounds) {
                tracker.merge(fleet.members[1 + it % (fleet.members.size - 1)].router, message, start)
            }
        val sizes = MessageSizes()
        val peer = RouterId("peer")
        sizes(peer, self, message)
        return listOf(
            CapacityRow("reporter heap, two pools per team", heap, "bytes"),
            CapacityRow("reporter heap, with ${counts.size} counts of each router", mergedHeap, "bytes"),
            CapacityRow("reporter request ended", request, "us/request"),
            CapacityRow("reporter merge of ${counts.size} counts", merge, "us/message"),
            CapacityRow("message BurnCounts, ${counts.size} counts", sizes(peer, self, message).toDouble(), "bytes"),
        )
    }

    private fun filledTracker(keys: List<BurnKey>): BurnTracker {
        val tracker = BurnTracker(fleet.members.first().router, Incarnation(1))
        keys.forEach { tracker.requestEnded(it, ended, start) }
        return tracker
    }

    private companion object {
        val ended = EndedRequest(hasFailed = false, firstTokenMicroseconds = 80_000)
        const val TICK = 20L
        const val MILLISECONDS = 1_000.0
        const val MINUTE = 60_000_000L
        const val KEY_BYTES = 32

        /** Maximum number of counts in one message. */
        const val COUNTS = 200
        const val DOCUMENT_ROUNDS_DIVISOR = 40
        const val BURN_ROUNDS_DIVISOR = 10
    }
}
