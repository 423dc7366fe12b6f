package azuredale.selftest

import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Servers that turn requests away and say for how long they want none. */
class ServerHoldSpec {
    private fun RawServers.turnAway(index: Int, lines: String) {
        servers[index].handler = { refuse(it, lines) }
    }

    private suspend fun RawServers.sendUntilRefusedBy(vararg indices: Int) {
        while (indices.any { servers[it].targets.isEmpty() }) send(count = 6)
        delay(100)
        servers.forEach { it.targets.clear() }
    }

    @Nested
    inner class Requests {
        @ParameterizedTest
        @ValueSource(
            strings = ["Retry-After: 1.5\r\n", "Retry-After: 0.2\r\nRetry-After: 1.5\r\n", "Retry-After: 100000\r\n"],
        )
        fun `go to other servers until the time is over`(lines: String) = withRawServers {
            // Guards against a server that has no room and gets the next request at once.
            turnAway(0, lines)
            val isShort = "1.5" in lines
            // The server's time begins when it turns a request away, so it is not over before this.
            val heldUntil = System.nanoTime() + if (isShort) 1_500_000_000L else Int.MAX_VALUE * 1_000L
            sendUntilRefusedBy(0)
            repeat(10) {
                assertTrue(send(count = 4).all { it.status == 200 })
                val requests = servers[0].targets.size
                if (System.nanoTime() < heldUntil) assertEquals(0, requests, "requests to a server that wants none")
                delay(100)
            }
            if (isShort) {
                servers[0].handler = { answer(it) }
                while (servers[0].targets.isEmpty()) send(count = 6)
            }
        }

        @ParameterizedTest
        @ValueSource(strings = ["", "-1", "abc", "NaN", "1e999", "Wed, 21 Oct 2015 07:28:00 GMT", "0"])
        fun `are sent as usual if the time cannot be read`(value: String) = withRawServers {
            // Guards against a server that is shut out by a value that it should not have sent.
            turnAway(0, "Retry-After: $value\r\n")
            sendUntilRefusedBy(0)
            send(count = 6)
            assertTrue(servers[0].targets.isNotEmpty())
        }

        @Test
        fun `are refused at once as not run while all servers want none`() = withRawServers {
            // Guards against requests that are sent in vain or wait, and against callers that all return at one moment.
            turnAway(0, "Retry-After: 3\r\n")
            turnAway(1, "Retry-After: 3\r\n")
            sendUntilRefusedBy(0, 1)
            val begun = System.nanoTime()
            val refused = send(count = 12)
            assertTrue((System.nanoTime() - begun) / 1_000_000 < 500)
            assertEquals(0, servers.sumOf { it.targets.size })
            val waits = refused.map { it.headers["retry-after"]?.toDouble() ?: 0.0 }
            assertTrue(refused.all { it.status == 503 })
            assertTrue(waits.all { it in 1.5..6.0 } && waits.distinct().size > 6, "$waits")
        }
    }
}
