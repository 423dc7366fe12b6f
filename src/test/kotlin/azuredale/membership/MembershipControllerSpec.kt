package azuredale.membership

import azuredale.identity.NetworkAddress
import azuredale.identity.Revision
import azuredale.node.NodeEffect
import azuredale.protocol.Confirmation
import azuredale.protocol.ProbeKind
import azuredale.protocol.ProbeMessage
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MembershipControllerSpec {
    private val seed = 11

    private fun joined(count: Int): SimulatedFleet = SimulatedFleet(seed).also {
        it.startAll(count)
        val passed = it.run(20_000) { it.isConverged() }
        assertTrue(it.isConverged(), "seed $seed: $count nodes did not join within $passed ms")
        it.run(3_000)
    }

    private fun SimulatedFleet.assertWithin(milliseconds: Long, what: String, condition: () -> Boolean) {
        val passed = run(milliseconds, until = condition)
        assertTrue(condition(), "seed $seed: not within $passed ms: $what")
    }

    @Nested
    inner class Joining {
        @Test
        fun `every node discovers all others through the seeds`() {
            // Guards against a joining node that only its seed knows.
            val fleet = joined(8)
            assertEquals(8, fleet.node(5).controller.fleetSize())
            assertTrue(
                fleet.largestDatagram <= MembershipOptions().maximumDatagramBytes,
                "${fleet.largestDatagram} bytes",
            )
        }

        @Test
        fun `a restarted node replaces its previous incarnation`() {
            val fleet = joined(8)
            val earlier =
                fleet
                    .node(5)
                    .controller.self.incarnation
            val version = fleet.node(1).controller.version
            val restarted = fleet.start(5)
            fleet.assertWithin(3_000, "the new incarnation is known") {
                fleet.nodes.all { node ->
                    node.controller
                        .members()
                        .find { it.router == restarted.id }
                        ?.incarnation
                        ?.let { it > earlier } ==
                        true
                }
            }
            assertTrue(fleet.node(1).controller.hasChangedSince(version))
            assertEquals(8, restarted.controller.fleetSize())
        }
    }

    @Nested
    inner class Updates {
        @Test
        fun `a refuted suspicion does not change the incarnation`() {
            val fleet = joined(8)
            val subject = fleet.node(3)
            val self = subject.controller.self
            val suspicion = self.copy(state = MemberState.SUSPECT).toUpdate(withProfile = false)
            val message = ProbeMessage(ProbeKind.PING, fleet.node(1).id, 1, updates = listOf(suspicion))
            fleet.perform(
                fleet.node(2),
                fleet.node(2).controller.datagramReceived(fleet.node(1).address, message, fleet.now),
            )
            assertEquals(MemberState.SUSPECT, fleet.node(2).stateOf(subject.id))
            fleet.assertWithin(3_000, "the refutation is known") {
                fleet.nodes.all { it.stateOf(subject.id) == MemberState.ALIVE } && subject.controller.self.version == 1
            }
            assertEquals(self.incarnation, subject.controller.self.incarnation)
            assertEquals(0, fleet.events.count { it.first == MembershipLogEvent.MEMBER_DEAD }, "seed $seed")
        }

        @Test
        fun `of two updates at most one replaces the other`() {
            // Guards against an old update that replaces a newer one because a datagram arrived late or twice.
            val member = joined(3).node(1).controller.self
            val versions =
                MemberState.entries.flatMap { state ->
                    (0..2).map { member.copy(state = state, version = it) }
                }
            versions.forEach { first ->
                versions.forEach { second ->
                    val isReplaced = second.toUpdate(withProfile = false).supersedes(first)
                    val isReplacedBack = first.toUpdate(withProfile = false).supersedes(second)
                    assertTrue(!(isReplaced && isReplacedBack), "$first $second")
                }
            }
        }

        @Test
        fun `a draining node counts in the fleet size and a node that left does not`() {
            val fleet = joined(8)
            val (draining, leaving) = listOf(fleet.node(2), fleet.node(6))
            fleet.perform(draining, draining.controller.drain(fleet.now))
            fleet.perform(leaving, leaving.controller.leave(fleet.now))
            leaving.isRunning = false
            fleet.assertWithin(1_000, "both are known") {
                fleet.nodes.filter { it.isRunning }.all { node ->
                    node.controller.members().any { it.router == draining.id && it.isDraining } &&
                        node.stateOf(leaving.id) == MemberState.LEFT &&
                        node.controller.fleetSize() == 7
                }
            }
        }
    }

    @Nested
    inner class VirtualMachineList {
        @Test
        fun `only a dead node that the platform no longer lists is removed from the fleet size`() {
            // Guards against a minority that takes itself for a majority. The list may be outdated in both directions:
            // node 5 is alive but not listed, node 7 is dead but still listed, and both count.
            val fleet = joined(8)
            val (gone, isolated) = listOf(fleet.node(6), fleet.node(7))
            gone.isRunning = false
            isolated.isRunning = false
            fleet.run(35_000)
            val listed =
                fleet.nodes
                    .filter { it != gone && it != fleet.node(5) }
                    .map { it.address }
                    .toSet()
            val observer = fleet.node(0).controller
            observer.virtualMachinesListed(listed, emptySet(), fleet.now)
            assertEquals(7, observer.fleetSize())
            assertEquals(6, observer.members().size)
        }
    }

    @Nested
    inner class Datagrams {
        @Test
        fun `a datagram from an address other than its sender's is ignored`() {
            val fleet = joined(3)
            val controller = fleet.node(0).controller
            val message = ProbeMessage(ProbeKind.PING, fleet.node(1).id, 1, revision = Revision(9))
            val elsewhere = NetworkAddress("10.9.9.9", 7000)
            assertEquals(emptyList(), controller.datagramReceived(elsewhere, message, fleet.now))
            assertEquals(1, controller.mismatchedSenders)
            assertTrue(controller.members().none { it.revision == Revision(9) })
        }

        @Test
        fun `the age of a confirmation includes the time in the socket buffer`() {
            // Guards against a router that resumes after a pause, takes a buffered confirmation for a fresh one, and
            // sends work to a server that was recalled in the meantime.
            val received = ArrayList<Pair<Confirmation, Timestamp>>()
            val fleet = SimulatedFleet(seed)
            fleet.startJoined(4) { number ->
                when (number) {
                    0 ->
                        MembershipCallbacks(onConfirmation = { confirmation, _, _, now ->
                            received += confirmation to now
                            emptyList()
                        })

                    else -> MembershipCallbacks(confirmation = { Confirmation(Revision(1), 5) })
                }
            }
            fleet.run(3_000)
            assertTrue(received.any { it.first.revision == Revision(1) && it.first.ageMilliseconds < 60 })
            fleet.node(0).isRunning = false
            val pausedAt = fleet.now
            fleet.run(5_000)
            fleet.node(0).isRunning = true
            received.clear()
            fleet.run(20)
            assertTrue(received.size > 3, "expected more than 3 buffered confirmations, got ${received.size}")
            // The oldest buffered datagram was sent within one probe interval of the pause; the newest may be recent.
            val confirmedAt =
                received.map { (confirmation, now) ->
                    now.plusMilliseconds(-confirmation.ageMilliseconds)
                }
            assertTrue(
                confirmedAt.first() <= pausedAt.plusMilliseconds(MembershipOptions().probeIntervalMilliseconds),
                "confirmed at ${confirmedAt.first()}, paused at $pausedAt",
            )
            assertTrue(confirmedAt.last() <= fleet.now, "a confirmation is dated in the future")
        }

        @Test
        fun `the member table does not grow past its maximum size`() {
            val fleet = joined(3)
            val observer = fleet.node(0)
            val template = fleet.node(1).controller.self
            val updates =
                (0 until 2_000).map {
                    template.copy(router = azuredale.identity.RouterId("x$it")).toUpdate(withProfile = true)
                }
            val message = ProbeMessage(ProbeKind.PING, fleet.node(1).id, 1, updates = updates)
            val effects = observer.controller.datagramReceived(fleet.node(1).address, message, fleet.now)
            assertEquals(MembershipOptions().maximumMembers + 1, observer.controller.allKnown().size)
            val codec = DatagramCodec(ByteArray(32))
            effects.filterIsInstance<NodeEffect.SendDatagram>().forEach {
                assertTrue(codec.encode(it.message).size <= MembershipOptions().maximumDatagramBytes)
            }
        }
    }
}
