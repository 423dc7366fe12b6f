package azuredale.command

import azuredale.selftest.SelfTest
import kotlinx.coroutines.runBlocking

/** `azuredale self-test`. */
internal class SelfTestCommand : Command("send requests through a gateway to stand-ins and check the responses") {
    override fun run(terminal: Terminal): Int {
        val faults = runBlocking { SelfTest().run() }
        faults.forEach { terminal.errors.appendLine(it) }
        terminal.output.appendLine(if (faults.isEmpty()) "self-test passed" else "self-test failed")
        return if (faults.isEmpty()) ExitCode.SUCCESS else ExitCode.FAILURE
    }
}
