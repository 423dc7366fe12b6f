package azuredale.edge

import azuredale.gateway.SendDecision
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import kotlin.test.Test
import kotlin.test.assertEquals

class BackendConnectionPoolSpec {
    @Test
    fun `a request is not written after its deadline`() = withBackendPool {
        // Guards against a request that waits for its connection and is sent to a server when it is no longer wanted.
        val deadline = clock().plusMilliseconds(100)
        val received =
            exchange(server = "server-0", id = "request-1", stallMilliseconds = 300) {
                if (clock() <
                    deadline
                ) {
                    write("request-1")
                } else {
                    SendDecision.Refuse(Failure(ErrorKind.DEADLINE_BEFORE_START))
                }
            }
        assertEquals(0, server.targets.size)
        assertEquals(1, received.events.size, "${received.events}")
    }
}
