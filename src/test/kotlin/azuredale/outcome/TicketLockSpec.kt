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
        fun `an outcome can be kept while the requests table is locked`() {
            // Guards against the lock order violation that left every non-idempotent call of the demo without an end.
            val ticket = tickets.issue(router, incarnation, team, now)
            assertIs<OutcomeUse.Run>(tickets.use(ticket, team, RequestNumber(1), now))
            tickets.locked { requests.locked { tickets.ticketEnded(ticket, RunEnd.NotRun, now) } }
            tickets.locked { requests.locked { tickets.use(ticket, team, RequestNumber(2), now) } }
            val end = RunEnd.Failed(Failure(ErrorKind.BACKEND_FAILED))
            tickets.locked { requests.locked { tickets.ticketEnded(ticket, end, now) } }
            assertIs<OutcomeUse.Refused>(tickets.use(ticket, team, RequestNumber(3), now))
        }
    }
}
