package azuredale.selftest

import azuredale.standin.BackendBehaviour
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Prompts with one part that ends each server which begins to answer them, among sound prompts of the same caller. */
class PromptCrashSpec {
    private class Setting(
        val fixture: GatewayFixture,
        val servers: CrashingServers,
    )

    private fun withServers(test: suspend Setting.() -> Unit) = runBlocking {
        val vertx = Vertx.vertx()
        val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
        try {
            withTimeout(60_000) {
                val fixture = GatewayFixture(vertx)
                fixture.start()
                val servers = CrashingServers(vertx, fixture, scope, DEADLY)
                servers.start(SERVERS)
                // The stand-ins of the fixture are gone once the router has read the new registrations.
                while (fixture.get("/stream/ready", prompt = "$FIRST:100,r:100,r0:100").text.isEmpty()) delay(50)
                delay(1_000)
                Setting(fixture, servers).test()
            }
        } finally {
            scope.cancel()
            vertx.close().coAwait()
        }
    }

    /** Sends prompts for [milliseconds], one in ten of them with the deadly part; returns the statuses of the others. */
    private suspend fun Setting.sendMixed(milliseconds: Long): List<Int> = coroutineScope {
        List((milliseconds / INTERVAL_MILLISECONDS).toInt()) { index ->
            val isDeadly = index % DEADLY_PERIOD == 0
            val second = if (isDeadly) DEADLY else "session${index % SESSIONS}"
            val answer =
                async {
                    runCatching {
                        fixture.get("/stream/$index", prompt = "$FIRST:100,$second:100,last$index:100").status
                    }.getOrDefault(CONNECTION_CLOSED)
                }
            delay(INTERVAL_MILLISECONDS)
            answer.takeIf { !isDeadly }
        }.filterNotNull().awaitAll()
    }

    @Nested
    inner class Fleet {
        @Test
        fun `stops sending prompts with a part that ends servers`() = withServers {
            // Guards against a request that ends server after server, sent on by routers and repeated by its callers.
            sendMixed(milliseconds = 4_000)
            val late = sendMixed(milliseconds = 3_000)
            val fifthEnd = servers.ends.getOrNull(FIFTH)
            val tooLate = fifthEnd?.let { end -> servers.deadlyArrivals.count { it > end + CONTACT_MILLISECONDS } } ?: 0
            assertTrue(tooLate <= 3, "$tooLate prompts reached servers late; ${servers.ends.size} servers ended")
            val served = late.count { it == 200 }.toDouble() / late.size
            assertTrue(served > 0.9, "$served of the sound prompts with the same first part were served")
        }

        @Test
        fun `serves sound prompts that were in progress beside it`() = withServers {
            // Guards against a quarantine of parts that were only in progress at the same servers.
            sendMixed(milliseconds = 4_000)
            val statuses =
                List(SESSIONS) { fixture.get("/stream/s$it", prompt = "$FIRST:9,session$it:9,z$it:9").status }
            assertEquals(List(SESSIONS) { 200 }, statuses)
        }
    }

    @Nested
    inner class Restart {
        @Test
        fun `a router that starts refuses what the store holds`() = runBlocking {
            // Guards against servers that end again since all routers were restarted.
            val vertx = Vertx.vertx()
            try {
                val fixture = GatewayFixture(vertx)
                fixture.platform.put("azuredale/quarantine/$DEADLY", "0")
                fixture.servers.forEach { server ->
                    server.behaviour = { BackendBehaviour.Stream(first = 1, last = 3) }
                }
                fixture.start()
                val received = fixture.get("/stream/x", prompt = "$FIRST:100,$DEADLY:100,last:100")
                assertEquals(503, received.status)
                assertTrue(received.headers.getValue("retry-after").toDouble() > 50, "${received.headers}")
                assertTrue(fixture.servers.all { server -> server.calls.none { DEADLY in it.promptParts } })
                assertEquals(200, fixture.get("/stream/x", prompt = "$FIRST:100,sound:100,last:100").status)
            } finally {
                vertx.close().coAwait()
            }
        }
    }

    private companion object {
        const val FIRST = "first"
        const val DEADLY = "deadly"
        const val SERVERS = 6
        const val SESSIONS = 40
        const val INTERVAL_MILLISECONDS = 20L
        const val DEADLY_PERIOD = 10
        const val FIFTH = 4

        /** Time after the fifth end in which the fleet must have learned the part. */
        const val CONTACT_MILLISECONDS = 1_000L
        const val CONNECTION_CLOSED = 0
    }
}
