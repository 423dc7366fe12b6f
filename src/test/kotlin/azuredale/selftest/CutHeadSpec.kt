package azuredale.selftest

import io.vertx.core.net.NetServerOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Connections that end in the middle of the head of an answer or a request. */
class CutHeadSpec {
    /** Complete answers, which are cut after each byte of their heads. */
    enum class CutAnswer(val whole: (id: String) -> String) {
        WITH_LENGTH({ RawServer.response(it, "whole") }),
        WITHOUT_LENGTH({ "${head(it)}\r\nwhole" }),
        CHUNKED({ "${head(it)}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" }),
        EMPTY({ "${head(it)}Content-Length: 0\r\n\r\n" }),
        AFTER_CONTINUE({ "HTTP/1.1 100 Continue\r\n\r\n" + RawServer.response(it, "whole") }),
        ;

        /** Length of everything before the body. */
        fun headBytes(id: String) = whole(id).let { it.indexOf(HEAD_END, it.lastIndexOf("HTTP/1.1")) + HEAD_END.length }

        companion object {
            private const val HEAD_END = "\r\n\r\n"

            fun head(id: String) = "HTTP/1.1 200 OK\r\nX-Azuredale-Request-Id: $id\r\nX-Azuredale-Response-Stamp: s\r\n"
        }
    }

    /** How the server closes the connection. */
    enum class Closing(val options: NetServerOptions) {
        ORDERLY(NetServerOptions()),
        RESET(NetServerOptions().setSoLinger(0)),
    }

    @Nested
    inner class Answers {
        @ParameterizedTest
        @EnumSource(Closing::class)
        fun `that are cut in their heads never look whole`(closing: Closing) =
            withRawServers(serverOptions = closing.options) {
                // Guards against a cut head that is delivered as a complete answer with an empty or short body.
                for (isKept in listOf(false, true)) {
                    for (answer in CutAnswer.entries) {
                        (0 until answer.headBytes(SHORTEST_ID)).chunked(PARALLEL).forEach { cuts ->
                            checkCuts(answer, cuts, isKept)
                        }
                    }
                }
            }

        private suspend fun RawServers.checkCuts(answer: CutAnswer, cuts: List<Int>, isKept: Boolean) {
            servers.forEach { server -> server.handler = { answer(it) } }
            if (isKept) send(cuts.size)
            servers.forEach { server ->
                server.handler = { request ->
                    val cut = request.target.substringAfterLast('/').toInt()
                    request.socket.write(answer.whole(request.id).take(cut)).onComplete { request.socket.close() }
                    null
                }
            }
            coroutineScope {
                cuts
                    .map { cut ->
                        async {
                            val received =
                                runCatching { fixture.get("/once/$cut", remainingMilliseconds = 1_500) }.getOrNull()
                            assertEquals(502, received?.status, "$answer cut at $cut, kept $isKept: ${received?.text}")
                        }
                    }.awaitAll()
            }
        }
    }

    @Nested
    inner class Requests {
        @Test
        fun `that are cut in their heads reach no server`() = withRawServers {
            // Guards against a request that is sent on although its caller closed before it was complete.
            val head = fixture.rawRequest("/once/cut")
            val client = vertx.createNetClient()
            (0 until head.length).chunked(PARALLEL).forEach { cuts ->
                cuts.forEach { cut ->
                    val socket = client.connect(fixture.callerAddress.port, fixture.callerAddress.host).coAwait()
                    socket.write(head.take(cut)).coAwait()
                    socket.close().coAwait()
                }
            }
            delay(300)
            assertTrue(servers.all { it.targets.isEmpty() })
        }
    }

    private companion object {
        const val SHORTEST_ID = "request-1"
        const val PARALLEL = 32
    }
}
