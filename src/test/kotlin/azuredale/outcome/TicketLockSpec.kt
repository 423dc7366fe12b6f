package azuredale.outcome

import azuredale.blackboard.LockRank
import azuredale.blackboard.Table
import azuredale.configuration.Secret
import azuredale.identity.Incarnation
import azuredale.identity.RequestNumber
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertIs

class TicketLockSpec {
    private val router = RouterId("router-1")
    private val incarnation = Incarnation(1)
    private val team = TeamId("kiosk")
    private val now = Timestamp.ofMilliseconds(1_000)
    private val tickets = TicketController(router, incarnation, TicketSigner(Secret("0123456789abcdef")))
    private val requests = Table<Int, Int>("requests", "test", maximumRows = 1, rank = LockRank.REQUESTS)

    @Nested
    inner class Order {
        @Test
        fun `an outcome can be stored while the request table is locked`() {
            // Guards against a lock order violation that prevented every non-idempotent request from completing.
            val ticket = tickets.issue(router, incarnation, team, now)
            assertIs<IdentityDecision.Run>(tickets.useTicket(ticket, team, RequestNumber(1), now))
            tickets.locked { requests.locked { tickets.ticketEnded(ticket, ExecutionResult.NotRun, now) } }
            tickets.locked { requests.locked { tickets.useTicket(ticket, team, RequestNumber(2), now) } }
            val end = ExecutionResult.Failed(Failure(ErrorKind.BACKEND_FAILED))
            tickets.locked { requests.locked { tickets.ticketEnded(ticket, end, now) } }
            assertIs<IdentityDecision.Refused>(tickets.useTicket(ticket, team, RequestNumber(3), now))
        }
    }
}
