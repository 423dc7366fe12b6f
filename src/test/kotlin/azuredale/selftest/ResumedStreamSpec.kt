package azuredale.selftest

import azuredale.platform.StoreKey
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.junit.jupiter.api.Nested
import java.util.concurrent.ConcurrentHashMap
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Streams that break off and are resumed, within one response or by their callers. */
class ResumedStreamSpec {
    /** The servers that sent events of each stream, by the id of the request that began it. */
    private val senders = ConcurrentHashMap<String, MutableSet<Int>>()

    private fun RawServers.stream() = servers.forEachIndexed { index, server ->
        server.handler = { request ->
            senders.computeIfAbsent(request.id.substringBefore(AGAIN)) { ConcurrentHashMap.newKeySet() } += index
            if (request.lastEvent == null) {
                val head = "HTTP/1.1 200 OK\r\nX-Azuredale-Request-Id: ${request.id}\r\n${RawServer.STAMP}"
                val event = "${head}Content-Length: 1000\r\n\r\n${event(1)}"
                request.socket.write(event).onComplete { request.socket.close() }
                event
            } else {
                RawServer.response(request.id, event(request.lastEvent + 1)).also { request.socket.write(it) }
            }
        }
    }

    private fun event(number: Long) = "id: $number\ndata: x\n\n"

    private suspend fun RawServers.begin(id: String) {
        runCatching { fixture.get(PATH, headers = mapOf("X-Azuredale-Request-Id" to id)) }
    }

    private suspend fun RawServers.resume(id: String): ReceivedResponse {
        val headers = mapOf("X-Azuredale-Request-Id" to id + AGAIN, "Resumes" to id, "Last-Event-Id" to "1")
        return fixture.get(PATH, headers = headers)
    }

    private suspend fun RawServers.beginTogether(ids: List<String>) = coroutineScope {
        ids.map { async { begin(it) } }.awaitAll()
    }

    /** Registers the servers with software versions 1 and 2, and waits until both begin streams. */
    private suspend fun RawServers.mix() {
        stream()
        register(1, generation = 3, version = "2")
        while (versions().size < 2) delay(20)
        var round = 0
        while (senders.values.none { it == setOf(1) }) {
            beginTogether(List(6) { "mixed-$round-$it" })
            round++
            delay(50)
        }
    }

    private fun RawServers.versions() = fixture.daemon!!
        .gateway.view.directory.entries.values
        .mapTo(HashSet()) { it.softwareVersion }

    @Nested
    inner class TwoVersions {
        @Test
        fun `go on at the version that began them, within the response and at a caller's retry`() = withRawServers {
            // Guards against text joined from two versions, whose events do not fit together.
            mix()
            beginTogether(List(STREAMS) { "stream-$it" })
            val answers = (0 until STREAMS).map { resume("stream-$it") }
            assertTrue(senders.values.all { it.size == 1 }, "streams with events of two versions: $senders")
            assertTrue(answers.all { it.status == 200 }, "answers: ${answers.map { it.status }}")
        }

        @Test
        fun `are refused as not run when nobody knows their version`() = withRawServers {
            // Guards against a guess after the routers that knew were killed.
            mix()
            val answer = resume("unknown")
            assertEquals(503, answer.status)
            assertTrue("retry-after" in answer.headers)
            assertTrue(!senders.containsKey("unknown"))
        }

        @Test
        fun `are refused as not run when their version has left`() = withRawServers {
            // Guards against a stream that goes on at the version that replaced its own.
            mix()
            val stream = senders.entries.first { it.value == setOf(1) }.key
            fixture.unregister(1)
            while (versions().size > 1) delay(20)
            assertEquals(503, resume(stream).status)
            assertEquals(setOf(1), senders[stream]?.toSet())
        }
    }

    @Nested
    inner class StartedRouters {
        @Test
        fun `go on anywhere while there has been one version only`() = withRawServers {
            // Guards against streams that are refused although any server may go on with them.
            stream()
            assertEquals(200, resume("unknown").status)
        }

        @Test
        fun `are refused while the store says that there were two versions`() = withRawServers {
            // Guards against a guess after all routers were killed and the old version has left.
            stream()
            fixture.platform.put(StoreKey.VERSIONS + "pool-a", "")
            assertEquals(503, resume("unknown").status)
            assertTrue(senders.isEmpty())
        }
    }

    private companion object {
        const val PATH = "/stream/x"
        const val AGAIN = "-again"
        const val STREAMS = 12
    }
}
