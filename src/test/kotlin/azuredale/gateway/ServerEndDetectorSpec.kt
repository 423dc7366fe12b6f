package azuredale.gateway

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.time.Timestamp
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class ServerEndDetectorSpec {
    private var now = Timestamp.ofMilliseconds(1_000_000)
    private val timers = ArrayDeque<() -> Unit>()
    private val probes = ArrayDeque<(Boolean) -> Unit>()
    private val reported = ArrayList<Int>()
    private val detector =
        ServerEndDetector(
            clock = { now },
            timer = { _, action ->
                timers += action
                Timer {}
            },
            probe = { _, onResult -> probes += onResult },
            onEnd = { _, prompts -> reported += prompts.size },
        )
    private val server =
        BackendEntry(
            id = ServerId("server-1"),
            pool = PoolId("pool"),
            address = NetworkAddress("10.0.0.1", 80),
            failureDomain = FailureDomain("domain"),
            slots = 8,
            state = BackendState.READY,
            startedAtMilliseconds = 1,
        )

    private fun close(count: Int = 1) = repeat(count) {
        detector.connectionClosed(server, PromptShape(emptyList(), 1, 1))
    }

    private fun finishProbe(isRefused: Boolean) {
        timers.removeFirst()()
        probes.removeFirst()(isRefused)
    }

    @Nested
    inner class Ends {
        @Test
        fun `collect all prompts whose connections close at about the same time`() {
            // Guards against a crash of which only the first closed connection counts.
            close(4)
            finishProbe(isRefused = true)
            assertEquals(listOf(4), reported)
        }

        @Test
        fun `include a connection that closes after the probe`() {
            // Guards against the request that caused the crash being missed since its connection closed last.
            close()
            finishProbe(isRefused = true)
            close()
            assertEquals(listOf(1, 1), reported)
        }

        @Test
        fun `are not concluded from a single closed connection`() {
            // Guards against connections that a running server or the network closes.
            close()
            finishProbe(isRefused = false)
            assertEquals(emptyList(), reported)
        }

        @Test
        fun `are checked again after a while`() {
            // Guards against a server that only closed a connection at first and ended later.
            close()
            finishProbe(isRefused = false)
            now = now.plusMilliseconds(500)
            close()
            finishProbe(isRefused = true)
            assertEquals(1, reported.size)
        }
    }
}
