package azuredale.selftest

import azuredale.standin.PlatformFaults
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Servers that leave, as the store or their own answers say. */
class LeavingServerSpec {
    @Nested
    inner class LateRouters {
        @Test
        fun `send nothing to a server that left while they were late`() = withRawServers {
            // Guards against a router that reads late and sends requests to servers whose leaving it has not read.
            fixture.platform.faults = PlatformFaults(delayMilliseconds = 400)
            register(0, state = "draining")
            fixture.stall(STALL_MILLISECONDS)
            delay(STALL_MILLISECONDS - 300)
            val answers = send(count = 6)
            assertEquals(0, servers[0].targets.size, "requests to a server that left $STALL_MILLISECONDS ms ago")
            assertTrue(answers.all { it.status == 200 || (it.status == 503 && "retry-after" in it.headers) })
        }
    }

    /** An answer of a server that leaves. */
    enum class LeavingAnswer(
        val path: String,
        val bytes: (id: String) -> String,
    ) {
        SUCCESS("/plain/", { RawServer.response(it, "ok", "$STAMP$LEAVING") }),
        OTHER_CASE("/plain/", { RawServer.response(it, "ok", "${STAMP}server-leaving: 1\r\n") }),
        REFUSAL("/plain/", { head(it, "503 Busy", "X-Azuredale-Not-Executed: 1\r\n") }),
        FAILURE("/plain/", { head(it, "500 Error", STAMP) }),
        NOT_FOUND("/plain/", { head(it, "404 Not Found", STAMP) }),
        ANSWER_TO_ANOTHER_REQUEST("/plain/", { RawServer.response("other", "x", "$STAMP$LEAVING") }),
        STREAM("/stream/", { stream(it) }),
        ;

        companion object {
            const val STAMP = "X-Azuredale-Response-Stamp: s\r\n"
            const val LEAVING = "Server-Leaving: 1\r\n"

            fun head(id: String, status: String, more: String) =
                "HTTP/1.1 $status\r\nX-Azuredale-Request-Id: $id\r\n$more${LEAVING}Content-Length: 0\r\n\r\n"

            /** The beginning of a stream that goes on. */
            fun stream(id: String) = "HTTP/1.1 200 OK\r\nX-Azuredale-Request-Id: $id\r\n$STAMP$LEAVING" +
                "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"
        }
    }

    @Nested
    inner class Answers {
        @ParameterizedTest
        @EnumSource(LeavingAnswer::class)
        fun `that say so end the server's requests`(case: LeavingAnswer) = withRawServers {
            // Guards against requests to a server that has said in an answer that it leaves.
            servers[0].handler = { request -> case.bytes(request.id).also { request.socket.write(it) } }
            while (servers[0].targets.isEmpty()) requestsOf(case)
            servers[0].targets.clear()
            repeat(3) { requestsOf(case) }
            assertEquals(0, servers[0].targets.size, "requests after the server said that it leaves")
            assertTrue(servers[1].targets.isNotEmpty())
        }

        /** Sends requests with prompts that no server has cached, so that they spread over the servers. */
        private suspend fun RawServers.requestsOf(case: LeavingAnswer) = coroutineScope {
            List(6) {
                val prompt = "a:100,b${Random.nextInt(MAXIMUM_PART)}:100,c:100"
                async { runCatching { fixture.get("${case.path}x", remainingMilliseconds = 400, prompt = prompt) } }
            }.awaitAll()
        }

        @Test
        fun `of an ended process do not keep requests from the next one under its id`() = withRawServers {
            // Guards against a server that gets nothing after its restart.
            servers[0].handler = { answer(it, "Server-Leaving: 1\r\n") }
            while (servers[0].targets.isEmpty()) send(count = 6)
            servers[0].handler = { answer(it) }
            register(0, generation = 3)
            servers[0].targets.clear()
            while (servers[0].targets.isEmpty()) send(count = 6)
        }

        @Test
        fun `of all servers refuse requests at once as not run`() = withRawServers {
            // Guards against requests that wait for their deadline although no server may get them.
            servers.forEach { server -> server.handler = { answer(it, "Server-Leaving: 1\r\n") } }
            while (servers.any { it.targets.isEmpty() }) send(count = 6)
            val begun = System.nanoTime()
            val refused = send(count = 6)
            assertTrue((System.nanoTime() - begun) / 1_000_000 < 500)
            assertTrue(refused.all { it.status == 503 && "retry-after" in it.headers }, "${refused.map { it.status }}")
        }
    }

    private companion object {
        /** The default bound on requests to a leaving server, and the time that a router may need beyond it. */
        const val STALL_MILLISECONDS = 2_400L
        const val MAXIMUM_PART = 100_000
    }
}
