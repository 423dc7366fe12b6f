package azuredale.outcome

import azuredale.configuration.Secret
import azuredale.identity.Incarnation
import azuredale.identity.RequestNumber
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.routing.StoredResponse
import azuredale.time.Timestamp
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class TicketInterleavingSpec {
    enum class Step { USE_A, END_A, USE_B, END_B, CRASH, EXPIRE, REMOVE_RECORD }

    enum class End { ANSWERED, NOT_RUN, FAILED, TOO_LARGE }

    private val team = TeamId("kiosk")
    private val signer = TicketSigner(Secret("test fleet key"))
    private val limits = OutcomeLimits(ticketLifetimeSeconds = 60, retentionSeconds = 120, maximumBodyBytes = 100)

    /** Runs all 1,260 orders of two uses of a ticket, their ends, a crash, the ticket's expiry and record removal. */
    @ParameterizedTest
    @EnumSource(End::class)
    fun `runs a ticket at most once and never reports a run as not run`(end: End) {
        var orders = 0
        forEachOrder(emptyList(), Step.entries.toSet()) { order ->
            orders++
            Simulation(end).run(order)
        }
        assertEquals(1_260, orders)
    }

    private fun forEachOrder(done: List<Step>, left: Set<Step>, visit: (List<Step>) -> Unit) {
        if (left.isEmpty()) visit(done)
        for (step in left) {
            val needed =
                if (step == Step.END_A) {
                    Step.USE_A
                } else if (step == Step.END_B) {
                    Step.USE_B
                } else {
                    null
                }
            if (needed == null || needed in done) forEachOrder(done + step, left - step, visit)
        }
    }

    private inner class Simulation(private val end: End) {
        private var now = Timestamp(0)
        private var incarnation = Incarnation(1)
        private var controller = controller()
        private val text = controller.issue(RouterId("r1"), incarnation, team, now)
        private val running = HashMap<RequestNumber, TicketController>()
        private var hasWritten = false
        private var hasEnded = false

        fun run(order: List<Step>) {
            for (step in order) {
                when (step) {
                    Step.USE_A -> use(RequestNumber(1), order)
                    Step.USE_B -> use(RequestNumber(2), order)
                    Step.END_A -> end(RequestNumber(1))
                    Step.END_B -> end(RequestNumber(2))
                    Step.CRASH -> {
                        incarnation = Incarnation(2)
                        controller = controller()
                    }
                    Step.EXPIRE -> advance(61)
                    Step.REMOVE_RECORD -> advance(500)
                }
            }
        }

        private fun use(request: RequestNumber, order: List<Step>) {
            when (val decision = controller.useTicket(text, team, request, now)) {
                IdentityDecision.Run -> {
                    assertFalse(hasWritten, "second run in $order")
                    assertEquals(Incarnation(1), incarnation, "run after the crash in $order")
                    assertTrue(now.microseconds == 0L, "run after expiry in $order")
                    running[request] = controller
                    if (end != End.NOT_RUN) hasWritten = true
                }
                is IdentityDecision.Join ->
                    assertTrue(
                        decision.original in running,
                        "joins a request that has ended in $order",
                    )
                is IdentityDecision.ReturnStored ->
                    assertTrue(
                        hasEnded && end == End.ANSWERED,
                        "answer without a run in $order",
                    )
                is IdentityDecision.Refused -> assertEquals(Execution.UNKNOWN, decision.failure.execution, "$order")
                IdentityDecision.Claim -> error("a ticket is never claimed")
            }
        }

        private fun end(request: RequestNumber) {
            val owner = running.remove(request) ?: return
            if (owner !== controller) return
            hasEnded = true
            val result =
                when (end) {
                    End.ANSWERED -> ExecutionResult.Completed(StoredResponse(200, null, byteArrayOf(1)))
                    End.TOO_LARGE -> ExecutionResult.Completed(StoredResponse(200, null, ByteArray(101)))
                    End.NOT_RUN -> ExecutionResult.NotRun
                    End.FAILED -> ExecutionResult.Failed(Failure(ErrorKind.BACKEND_FAILED))
                }
            controller.ticketEnded(text, result, now)
        }

        private fun advance(seconds: Long) {
            now = now.plusSeconds(seconds)
            controller.tick(now)
        }

        private fun controller() = TicketController(RouterId("r1"), incarnation, signer, limits)
    }

    @Test
    fun `rejects tickets whose text was changed`() {
        // Guards against a caller changing the router, team or deadline of a ticket.
        val number = TicketNumber(RouterId("r1"), Incarnation(1), 7)
        val ticket = Ticket(RouterId("r2"), Incarnation(3), number, team, Timestamp(9))
        val text = signer.sign(ticket)
        assertEquals(ticket, signer.verify(text))
        for (index in text.indices) {
            val changed = text.replaceRange(index, index + 1, if (text[index] == 'A') "B" else "A")
            // The last character has unused bits, so changing it may still give the same bytes.
            val read = signer.verify(changed)
            if (index <
                text.lastIndex
            ) {
                assertNull(read, "letter $index")
            } else {
                assertTrue(read == null || read == ticket)
            }
        }
        assertNull(TicketSigner(Secret("another key")).verify(text))
        assertNull(signer.verify("A".repeat(2_000)))
    }

    @Test
    fun `evicts the oldest outcomes at the size limit and reports them as dropped`() {
        val small = limits.copy(maximumBodyBytes = 60, maximumTotalBytes = 100)
        val controller = TicketController(RouterId("r1"), Incarnation(1), signer, small)
        val texts = List(3) { controller.issue(RouterId("r1"), Incarnation(1), team, Timestamp(0)) }
        texts.forEachIndexed { index, text ->
            assertEquals(
                IdentityDecision.Run,
                controller.useTicket(text, team, RequestNumber(index + 1L), Timestamp(0)),
            )
            controller.ticketEnded(
                text,
                ExecutionResult.Completed(StoredResponse(200, null, ByteArray(50))),
                Timestamp(0),
            )
        }
        val repeats = texts.map { controller.useTicket(it, team, RequestNumber(9), Timestamp(0)) }
        assertEquals(ErrorKind.OUTCOME_DROPPED, (repeats[0] as IdentityDecision.Refused).failure.kind)
        repeats.drop(1).forEach { assertNotNull(it as? IdentityDecision.ReturnStored) }
    }

    @Test
    fun `refuses a first use when the table of used tickets is full`() {
        val controller = TicketController(RouterId("r1"), Incarnation(1), signer, limits.copy(maximumIdentities = 1))
        val uses =
            List(2) {
                val text = controller.issue(RouterId("r1"), Incarnation(1), team, Timestamp(0))
                controller.useTicket(text, team, RequestNumber(it + 1L), Timestamp(0))
            }
        assertEquals(IdentityDecision.Run, uses[0])
        assertEquals(Failure(ErrorKind.OVERLOADED, "used tickets"), (uses[1] as IdentityDecision.Refused).failure)
    }
}
