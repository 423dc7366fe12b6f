package azuredale.selftest

import org.junit.jupiter.api.io.TempDir
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Runs `azuredale gateway`, and suspends its event loop if the first argument says so. */
internal object SuspendedGateway {
    @JvmStatic
    fun main(arguments: Array<String>) {
        thread(isDaemon = true) { azuredale.command.main(arrayOf("gateway", "--settings", arguments[1])) }
        Thread.sleep(4_000)
        val eventLoop = Thread.getAllStackTraces().keys.single { it.name.startsWith("vert.x-eventloop") }
        // Called by its name: it is deprecated, and nothing else stops a thread of the program from outside.
        if (arguments[0] == "suspend") Thread::class.java.getMethod("suspend").invoke(eventLoop)
        Thread.sleep(60_000)
    }
}

class StoppedLoopSpec {
    @TempDir
    lateinit var directory: Path

    private fun start(what: String): Process {
        val ports = List(4) { ServerSocket(0).use { it.localPort } }
        val settings = directory.resolve("$what.settings")
        settings.writeText(
            """
            node=router-1
            region=region
            zone=domain
            ip=127.0.0.1
            listen.front=127.0.0.1:${ports[0]}
            listen.ready=127.0.0.1:${ports[1]}
            listen.directory=127.0.0.1:${ports[2]}
            port-range=${ports[3]},${ports[3] + 1}
            platform.address=127.0.0.1:${ports[3]}
            """.trimIndent(),
        )
        val java =
            ProcessHandle
                .current()
                .info()
                .command()
                .orElse("java")
        val main = SuspendedGateway::class.java.name
        return ProcessBuilder(java, "-Xmx64m", "-cp", System.getProperty("java.class.path"), main, what, "$settings")
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("$what.log").toFile())
            .start()
    }

    private fun signal(name: String, process: Process) =
        assertEquals(0, ProcessBuilder("kill", "-$name", "${process.pid()}").start().waitFor())

    @Test
    fun `a process without its event loop ends, one that stood still goes on`() {
        // Guards against a process that lives on and answers nothing, and against one that ends after a freeze.
        val suspended = start("suspend")
        val frozen = start("run")
        try {
            Thread.sleep(5_000)
            signal("STOP", frozen)
            Thread.sleep(12_000)
            signal("CONT", frozen)
            assertTrue(suspended.waitFor(10, TimeUnit.SECONDS), "it still runs")
            assertEquals(71, suspended.exitValue())
            assertContains(directory.resolve("suspend.log").readText(), "AZ-2275")
            assertFalse(frozen.waitFor(3, TimeUnit.SECONDS), directory.resolve("run.log").readText())
        } finally {
            suspended.destroyForcibly()
            frozen.destroyForcibly()
        }
    }
}
