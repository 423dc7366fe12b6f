package azuredale.selftest

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertTrue

/** Servers that name in their answers how many requests a second they take. */
class ServerLimitSpec {
    /** A server that answers each request and names [limit], if there is one. */
    private class LimitedServer(vertx: Vertx) {
        val server = RawServer(vertx)
        val arrivals = CopyOnWriteArrayList<Long>()

        @Volatile
        var limit: String? = null

        init {
            server.handler = { request ->
                arrivals += System.nanoTime() / 1_000_000
                val named = limit?.let { "Server-Limit: $it\r\n" }.orEmpty()
                val more = "${named}X-Azuredale-Response-Stamp: s\r\n"
                RawServer.response(request.id, "ok", more).also { request.socket.write(it) }
            }
        }

        /** Largest number of arrivals within 4 s after [from]. */
        fun worstWindow(from: Long) = arrivals
            .filter { it >= from }
            .maxOfOrNull { start -> arrivals.count { it in start..start + 4_000 } } ?: 0
    }

    private fun withServers(test: suspend (GatewayFixture, List<LimitedServer>) -> Unit) = runBlocking {
        val vertx = Vertx.vertx()
        try {
            withTimeout(40_000) {
                val fixture = GatewayFixture(vertx)
                fixture.start()
                val servers = List(2) { LimitedServer(vertx) }
                servers.forEachIndexed { index, it -> fixture.register(index, it.server.start(), generation = 2) }
                while (servers.all { it.arrivals.isEmpty() }) fixture.send(milliseconds = 200)
                delay(600)
                test(fixture, servers)
            }
        } finally {
            vertx.close().coAwait()
        }
    }

    private suspend fun GatewayFixture.send(milliseconds: Long): List<ReceivedResponse> = coroutineScope {
        List((milliseconds / INTERVAL_MILLISECONDS).toInt()) {
            val answer = async { get("/plain/x") }
            delay(INTERVAL_MILLISECONDS)
            answer
        }.awaitAll()
    }

    @Nested
    inner class Requests {
        @Test
        fun `beyond a server's limit go to servers without one`() = withServers { fixture, servers ->
            // Guards against a server in need that gets as many requests as the others.
            servers[0].limit = "4.0"
            fixture.send(milliseconds = 1_000)
            val from = System.nanoTime() / 1_000_000
            val received = fixture.send(milliseconds = 6_000)
            assertTrue(
                servers[0].worstWindow(from) <= 4 * 4 * 1.5 + 5,
                "${servers[0].worstWindow(from)} requests in 4 s",
            )
            assertTrue(
                received.all { it.status == 200 },
                "${received.groupBy { it.status }.mapValues { it.value.size }}",
            )
            servers[0].limit = null
            val endedAt = System.nanoTime() / 1_000_000
            fixture.send(milliseconds = 5_000)
            assertTrue(servers[0].worstWindow(endedAt) > 4 * 4 * 1.5 + 5, "limit did not end")
        }

        @Test
        fun `beyond the limits of all servers are refused at once as not run`() = withServers { fixture, servers ->
            // Guards against requests that wait for their deadline although no server may get them.
            servers.forEach { it.limit = "4.0" }
            fixture.send(milliseconds = 1_000)
            val begun = System.nanoTime()
            val received = fixture.send(milliseconds = 2_000)
            assertTrue((System.nanoTime() - begun) / 1_000_000 < 2_700)
            val refused = received.filter { it.status == 503 }
            assertTrue(refused.size > received.size / 2, "${refused.size} of ${received.size} refused")
            assertTrue(refused.all { "retry-after" in it.headers })
        }

        @ParameterizedTest
        @ValueSource(strings = ["abc", "-1", "NaN", "", "1e999"])
        fun `are sent as usual if a limit cannot be read`(limit: String) = withServers { fixture, servers ->
            // Guards against a server that is shut out by a value that it should not have sent.
            servers.forEach { it.limit = limit }
            assertTrue(fixture.send(milliseconds = 600).all { it.status == 200 })
        }
    }

    private companion object {
        const val INTERVAL_MILLISECONDS = 20L
    }
}
