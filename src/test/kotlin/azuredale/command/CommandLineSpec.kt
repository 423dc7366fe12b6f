package azuredale.command

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class CommandLineSpec {
    private val output = StringBuilder()
    private val errors = StringBuilder()

    private fun run(vararg arguments: String): Int = CommandLine().run(arguments.toList(), Terminal(output, errors))

    @Nested
    inner class Usage {
        @ParameterizedTest
        @ValueSource(
            strings = [
                "", "unknown", "router", "router --settings", "check", "show --router nonsense --token-file x",
                "submit", "recall", "demo --seconds 0", "stand-in", "stand-in engine --port 70000", "report",
                "measure --routers many",
            ],
        )
        fun `a usage error returns exit code 2 and prints a message`(line: String) {
            // Guards against scripts that cannot distinguish a mistyped command from a failed one.
            val arguments = line.split(' ').filter { it.isNotEmpty() }.toTypedArray()
            assertEquals(ExitCode.USAGE, run(*arguments))
            assertContains(errors, "azuredale")
            assertEquals("", output.toString())
        }

        @Test
        fun `every command prints help`() {
            // Guards against a command whose help cannot be printed without its required options.
            allCommands.keys.forEach { name ->
                output.clear()
                assertEquals(ExitCode.SUCCESS, run(*"$name --help".split(' ').toTypedArray()), name)
                assertContains(output, "usage: azuredale $name")
            }
        }
    }

    @Nested
    inner class Check {
        @TempDir
        lateinit var folder: Path

        @Test
        fun `prints every error with section, key and line`() {
            // Guards against operators who must run the check once for each error.
            val file = folder.resolve("document.ini")
            file.writeText("[pool models]\nkind = model\n[team a]\nshare = -1\npools = nowhere\n")
            assertEquals(ExitCode.FAILURE, run("check", file.toString()))
            assertContains(output, "line 4 [team a] share")
            assertContains(output, "line 5 [team a] pools")
        }

        @Test
        fun `recognises a settings file and reports missing keys`() {
            val file = folder.resolve("router.ini")
            file.writeText("[router]\nname = router-1\n[addresses]\ncaller = 127.0.0.1:99999\n")
            assertEquals(ExitCode.FAILURE, run("check", file.toString()))
            assertContains(output, "[router] failure-domain")
            assertContains(output, "line 4 [addresses] caller")
        }
    }
}
