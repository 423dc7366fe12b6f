package azuredale.configuration

import azuredale.identity.FailureDomain
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.membership.MemberState
import azuredale.node.NodeEffect
import azuredale.protocol.Confirmation
import azuredale.protocol.DocumentAnnounce
import azuredale.protocol.DocumentBody
import azuredale.protocol.DocumentRequest
import azuredale.protocol.PeerMessage
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class DocumentControllerSpec {
    private val start = Timestamp(1_000_000_000)
    private val peers = (1..7).map { "r$it" }

    private fun at(milliseconds: Long) = start.plusMilliseconds(milliseconds)

    private fun controller() = DocumentController(DocumentFixture.self, DocumentFixture.domain)

    /** Seven members in another failure domain, so that the tested node is a watcher and polls for its own domain. */
    private fun fleet() = peers.map { DocumentFixture.member(it, failureDomain = FailureDomain("south-b")) }

    /** A node that has known its fleet and document for [SETTLED] milliseconds, during which the service responded. */
    private fun settled(): DocumentController = controller().also { controller ->
        controller.membersChanged(fleet(), at(0))
        controller.run(0, SETTLED) { controller.documentRead(DocumentFixture.accepted(1), it) }
    }

    /** Ticks from [from] to [to]. Peers in [answering] reply to polls with [revision]. [perTick] adds other events. */
    private fun DocumentController.run(
        from: Long,
        to: Long,
        answering: List<String> = emptyList(),
        revision: Long = 1,
        perTick: (Timestamp) -> List<NodeEffect> = { emptyList() },
    ): List<NodeEffect> = (from..to step 20).flatMap { time ->
        val effects = perTick(at(time)) + tick(at(time))
        val polled = messages(effects).filter { it.second is DocumentRequest && it.first in answering }
        effects +
            polled.flatMap {
                val echo = (it.second as DocumentRequest).sentAt
                messageReceived(RouterId(it.first), DocumentAnnounce(Revision(revision), echo), at(time))
            }
    }

    private fun messages(effects: List<NodeEffect>): List<Pair<String, PeerMessage>> =
        effects.filterIsInstance<NodeEffect.SendMessage>().map { it.to.name to it.message }

    @Nested
    inner class Restart {
        @Test
        fun `gets the document from a peer while the service is down and starts work with a majority`() {
            // Guards against a fleet that cannot restart nodes during an outage of the service.
            val controller = controller()
            assertTrue(NodeEffect.ReadDocument in controller.tick(at(0)))
            controller.platformFailed(at(10))
            assertFalse(controller.mayGiveOutWork(at(10)))
            controller.membersChanged(fleet(), at(20))
            val asked = messages(controller.peerRevision(RouterId("r3"), Revision(5), at(40)))
            assertEquals(listOf<Pair<String, PeerMessage>>("r3" to DocumentRequest(Revision.NONE)), asked)
            controller.messageReceived(RouterId("r3"), DocumentFixture.body(5), at(60))
            assertEquals(Revision(5), controller.document()?.revision)
            // A node that has just learned of its members cannot tell how many are still missing from the list.
            controller.run(60, 9_000, answering = peers, revision = 5)
            assertFalse(controller.mayGiveOutWork(at(9_000)))
            controller.run(9_020, 12_000, answering = peers, revision = 5)
            assertTrue(controller.mayGiveOutWork(at(12_000)))
        }

        @Test
        fun `asks another peer when the first one does not reply or replies with a malformed document`() {
            // Guards against a node that stays without a document because one peer failed.
            val controller = controller()
            controller.membersChanged(fleet(), at(0))
            val heard = listOf("r1", "r2").flatMap { controller.peerRevision(RouterId(it), Revision(5), at(0)) }
            val asked =
                messages(
                    heard + controller.run(20, 700),
                ).filter { it.second is DocumentRequest }.map { it.first }
            assertEquals(listOf("r1", "r2"), asked.sorted())
            val large = DocumentEnvelope.compress(ByteArray(20 * DocumentEnvelope.MAXIMUM_BYTES))
            val cut = DocumentFixture.body(5).body.copyOf(20)
            listOf(
                byteArrayOf(1, 2, 3),
                cut,
                large,
                DocumentEnvelope.compress(byteArrayOf(1)),
            ).fold(asked.last()) { peer, rubbish ->
                val body = DocumentBody(Revision(5), rubbish)
                val next = messages(controller.messageReceived(RouterId(peer), body, at(710)))
                next.single { it.second is DocumentRequest }.first
            }
            assertNull(controller.document())
        }

        @Test
        fun `does not count itself as a majority when seeds are configured`() {
            // Guards against a restarted, isolated node that treats itself as the whole fleet.
            val controller = DocumentController(DocumentFixture.self, DocumentFixture.domain) { 3 }
            controller.documentRead(DocumentFixture.accepted(1), at(0))
            controller.run(0, 5_000)
            assertFalse(controller.mayGiveOutWork(at(5_000)))
        }
    }

    @Nested
    inner class Isolation {
        @Test
        fun `stops within two seconds of its last confirmation when nobody answers`() {
            // Guards against an isolated router that keeps sending work to a recalled server.
            val controller = settled()
            controller.run(SETTLED + 20, SETTLED + 10_000) { now ->
                assertEquals(now <= at(SETTLED + 2_000), controller.mayGiveOutWork(now), "at $now")
                emptyList()
            }
        }

        @Test
        fun `stops when half of the fleet answers, even after the other half was dropped from the members`() {
            // Guards against a minority whose member list shrinks until the minority counts as a majority.
            val controller = settled()
            val half = peers.take(3)
            // The failure detector finds the members dead one after another and finally removes them.
            (3..6).forEach { last ->
                val members =
                    fleet().mapIndexed { index, member ->
                        if (index in 3..last) member.copy(state = MemberState.DEAD) else member
                    }
                controller.membersChanged(members, at(SETTLED + last * 20))
            }
            controller.membersChanged(fleet().take(3), at(SETTLED + 400))
            controller.run(SETTLED + 400, 700_000, half) {
                // The reply of a router that is not a member is not counted.
                controller.messageReceived(RouterId("stranger"), DocumentAnnounce(Revision(1)), it)
            }
            assertFalse(controller.mayGiveOutWork(at(700_000)))
            assertFalse(controller.isConnectedWithMajority(at(700_000)))
        }

        @Test
        fun `does not trust confirmations that waited in the buffers during a pause of the process`() {
            // Guards against a process that resumes work after a pause although a recall was accepted meanwhile.
            val controller = settled()
            val resumed = SETTLED + 9_000L
            controller.confirmationReceived(Confirmation(Revision(1), 50), at(resumed))
            peers.forEach {
                val answer = DocumentAnnounce(Revision(1), at(SETTLED).microseconds, Confirmation(Revision(1), 0))
                controller.messageReceived(RouterId(it), answer, at(resumed))
            }
            assertFalse(controller.mayGiveOutWork(at(resumed)))
            assertFalse(controller.isConnectedWithMajority(at(resumed)))
            controller.run(resumed, resumed + 400)
            controller.confirmationReceived(Confirmation(Revision(1), 50), at(resumed + 400))
            assertTrue(controller.mayGiveOutWork(at(resumed + 400)))
        }

        @Test
        fun `stops when peers hold a newer document that it cannot fetch`() {
            // Guards against a majority that counts as a confirmation although a newer document is known to exist.
            val controller = settled()
            val end = SETTLED + 5_000
            controller.run(SETTLED, end, peers.drop(1)) { controller.peerRevision(RouterId("r1"), Revision(2), it) }
            assertFalse(controller.mayGiveOutWork(at(end)))
        }
    }

    @Nested
    inner class Outage {
        @Test
        fun `keeps work running while more than half of the fleet answers`() {
            // Guards against a fleet that stops work during an outage of the key-value service.
            val controller = settled()
            val effects =
                controller.run(SETTLED, SETTLED + 60_000, peers.take(4)) { now ->
                    assertTrue(controller.mayGiveOutWork(now), "stopped at $now")
                    controller.platformFailed(now)
                }
            val reads = effects.count { it == NodeEffect.ReadDocument }
            assertTrue(reads in 10..30, "$reads reads in 60 s of an outage")
            val polls = messages(effects).count { it.first == "r1" && it.second is DocumentRequest }
            assertTrue(polls in 100..121, "$polls polls in 60 s of an outage")
        }

        @Test
        fun `does not poll the fleet while the service answers, except when a caller asks for a majority`() {
            // Guards against permanent traffic caused by polls of the whole fleet.
            val controller = settled()
            val answer = { now: Timestamp -> controller.documentRead(DocumentFixture.accepted(1), now) }
            val quiet = messages(controller.run(SETTLED, 30_000, peers, perTick = answer))
            assertEquals(emptyList(), quiet.filter { it.second is DocumentRequest })
            assertFalse(controller.isConnectedWithMajority(at(30_000)))
            controller.run(30_020, 30_040, peers, perTick = answer)
            assertTrue(controller.isConnectedWithMajority(at(30_040)))
        }

        @Test
        fun `counts a member that is gone for ten minutes until a poll reaches a majority`() {
            // Guards against replaced VMs that are counted forever, so that a majority can no longer be reached.
            val controller = controller()
            controller.membersChanged(fleet(), at(0))
            controller.documentRead(DocumentFixture.accepted(1), at(0))
            val replaced = fleet().take(4) + (8..10).map { DocumentFixture.member("r$it") }
            controller.membersChanged(replaced, at(20))
            val alive = replaced.map { it.router.name }
            val answer = { now: Timestamp -> controller.revisionConfirmed(Revision(1), now) }
            controller.run(40, 300_000, alive, perTick = answer)
            controller.isConnectedWithMajority(at(300_000))
            controller.run(300_020, 302_000, alive, perTick = answer)
            controller.isConnectedWithMajority(at(302_000))
            controller.run(302_020, 302_040, alive.take(4), perTick = answer)
            assertFalse(controller.isConnectedWithMajority(at(302_040)))
            controller.run(302_060, 610_000, alive, perTick = answer)
            controller.membersChanged(replaced.take(5), at(610_000))
            // Five of eight members respond. With the replaced VMs counted, it would be five of eleven.
            controller.isConnectedWithMajority(at(610_500))
            controller.run(610_520, 610_540, alive.take(4), perTick = answer)
            assertTrue(controller.isConnectedWithMajority(at(610_540)))
        }

        @Test
        fun `reads the service at most twice a second`() {
            // Guards against call rates that grow when the service answers fast or not at all.
            val controller = controller()
            val answered = controller.run(0, 10_000) { controller.documentRead(DocumentFixture.accepted(1), it) }
            assertTrue(answered.count { it == NodeEffect.ReadDocument } <= 21)
            val silent = controller().run(0, 10_000).count { it == NodeEffect.ReadDocument }
            assertTrue(silent in 5..21, "$silent reads in 10 s without an answer")
        }
    }

    @Nested
    inner class Confirmations {
        @Test
        fun `of peers keep a node confirmed and keep their age when forwarded`() {
            // Guards against a confirmation whose stated age decreases as it is forwarded through the fleet.
            val controller = controller()
            controller.membersChanged(fleet(), at(0))
            controller.messageReceived(RouterId("r1"), DocumentFixture.body(3), at(0))
            assertFalse(controller.mayGiveOutWork(at(0)))
            controller.confirmationReceived(Confirmation(Revision(3), 1_500), at(100))
            assertTrue(controller.mayGiveOutWork(at(500)))
            assertEquals(Confirmation(Revision(3), 1_900), controller.confirmation(at(500)))
            assertFalse(controller.mayGiveOutWork(at(700)))
        }

        @Test
        fun `of a newer revision do not confirm an older document`() {
            // Guards against a node that works under a superseded document because confirmations still arrive.
            val controller = controller()
            controller.documentRead(DocumentFixture.accepted(1), at(0))
            (0L..4_000L step 20).forEach {
                controller.confirmationReceived(Confirmation(Revision(2), 0), at(it))
                controller.tick(at(it))
            }
            assertFalse(controller.mayGiveOutWork(at(4_000)))
        }

        @Test
        fun `of the previous revision confirm a document that was just adopted`() {
            // Guards against an interruption of work on all nodes after each change of the document.
            val controller = controller()
            controller.documentRead(DocumentFixture.accepted(1), at(0))
            controller.messageReceived(RouterId("r1"), DocumentFixture.body(2), at(100))
            assertTrue(controller.mayGiveOutWork(at(1_900)))
            controller.confirmationReceived(Confirmation(Revision(1), 0), at(1_000))
            assertTrue(controller.mayGiveOutWork(at(2_900)))
        }
    }

    @Nested
    inner class Spreading {
        @Test
        fun `answers requests and announces its revision to peers with an older one`() {
            val controller = controller()
            controller.documentRead(DocumentFixture.accepted(4), at(0))
            val answer = messages(controller.messageReceived(RouterId("r1"), DocumentRequest(Revision(3)), at(10)))
            val body = assertIs<DocumentBody>(answer.single().second)
            val copy = controller()
            copy.messageReceived(DocumentFixture.self, body, at(20))
            assertEquals(controller.document(), copy.document())
            // A poll carries the poller's own revision and must be answered even if there is nothing newer.
            val polled = messages(controller.messageReceived(RouterId("r1"), DocumentRequest(Revision(4), 77), at(30)))
            assertEquals(
                listOf<Pair<String, PeerMessage>>(
                    "r1" to DocumentAnnounce(Revision(4), 77, Confirmation(Revision(4), 30)),
                ),
                polled,
            )
            val corrected = messages(controller.messageReceived(RouterId("r2"), DocumentAnnounce(Revision(2)), at(40)))
            assertEquals(listOf<Pair<String, PeerMessage>>("r2" to DocumentAnnounce(Revision(4))), corrected)
        }

        @Test
        fun `sends a document of the service to a few peers only`() {
            // Guards against a document change for which one node must send a message to every other node.
            val controller = controller()
            controller.membersChanged((1..389).map { DocumentFixture.member("r$it") }, at(0))
            val sent = messages(controller.documentRead(DocumentFixture.accepted(1), at(0)))
            assertEquals(8, sent.map { it.first }.distinct().size)
            assertEquals(4, sent.count { it.second is DocumentBody })
        }

        @Test
        fun `chooses three watchers in each failure domain, the same on every node`() {
            // Guards against a watch by every node, and against a failure domain without a watcher.
            val domains = listOf("a", "b").map(::FailureDomain)
            val names = (1..20).map { "node-$it" }
            val watching =
                names.filter { name ->
                    val own = domains[name.hashCode().mod(2)]
                    val members =
                        names.map {
                            DocumentFixture.member(
                                it,
                                MemberState.ALIVE,
                                domains[it.hashCode().mod(2)],
                            )
                        }
                    val effects = DocumentController(RouterId(name), own).membersChanged(members, at(0))
                    NodeEffect.WatchDocument(true) in effects
                }
            assertEquals(
                listOf(3, 3),
                domains.indices.map { index ->
                    watching.count { it.hashCode().mod(2) == index }
                },
            )
        }
    }

    private companion object {
        const val SETTLED = 11_000L
    }
}
