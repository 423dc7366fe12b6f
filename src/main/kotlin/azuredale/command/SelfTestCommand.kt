package azuredale.command

import azuredale.selftest.SelfTest
import kotlinx.coroutines.runBlocking

/** `azuredale self-test`. */
internal class SelfTestCommand : Command("serve requests through one gateway on stand-ins and check the answers") {
    override fun run(terminal: Terminal): Int {
        val faults = runBlocking { SelfTest().run() }
        faults.forEach { terminal.errors.appendLine(it) }
        terminal.output.appendLine(if (faults.isEmpty()) "self-test passed" else "self-test failed")
        return if (faults.isEmpty()) ExitCode.SUCCESS else ExitCode.FAILURE
    }
}
