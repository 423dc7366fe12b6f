package azuredale.console

import azuredale.command.CommandLine
import azuredale.command.Terminal
import azuredale.configuration.AcceptedDocument
import azuredale.configuration.ConfigurationError
import azuredale.configuration.DocumentParser
import azuredale.configuration.ParseResult
import azuredale.configuration.SubmissionResult
import azuredale.identity.Revision
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Runs the operator commands of the command line against the operator interface. */
class OperatorApiSpec {
    @TempDir
    lateinit var folder: Path

    private val vertx = Vertx.vertx()
    private val output = StringBuilder()
    private val errors = StringBuilder()
    private val submitted = mutableListOf<Submission>()
    private var isDrained = false
    private var answer: (Submission) -> SubmissionResult = { submission ->
        SubmissionResult.Accepted(accepted(submission.basedOn.value + 1, submission.text))
    }
    private val operations =
        RouterOperations(
            document = { accepted(4, TEXT) },
            submit = { submission -> answer(submission).also { submitted += submission } },
            status = { FleetStatus("router-1", 7, 4, true, true, false, listOf(), listOf(), listOf(), listOf()) },
            drain = { isDrained = true },
            metrics = { "metrics" },
            burnReport = { "report as $it" },
        )
    private val edge =
        OperatorHttpServer(
            vertx,
            operatorTestSettings(),
            operations,
            CoroutineScope(Dispatchers.Default),
            systemClock(),
        )

    @BeforeEach
    fun start() = runBlocking { edge.start() }

    @AfterEach
    fun stop() = runBlocking {
        edge.stop()
        vertx.close().coAwait()
        Unit
    }

    @Nested
    inner class Read {
        @Test
        fun `show prints the state as text and as valid JSON`() {
            // Guards against JSON that is encoded twice, which made the show and submit commands fail.
            assertEquals(0, run("show", "--json"))
            assertEquals(4, Json.decodeFromString(FleetStatus.serializer(), output.toString()).revision)
            assertEquals(0, run("show"))
            assertContains(output, "router router-1 incarnation 7 revision 4")
            assertEquals(0, run("show", "--document"))
            assertContains(output, TEXT)
        }

        @Test
        fun `report burn prints text and JSON`() {
            assertEquals(0, run("report", "burn"))
            assertEquals(0, run("report", "burn", "--json"))
            assertContains(output, "report as TEXT")
            assertContains(output, "report as JSON")
        }

        @Test
        fun `a wrong token ends with exit code 1 and prints no state`() {
            assertEquals(1, run("show", token = "another-token-of-length"))
            assertContains(errors, "UNAUTHORIZED")
            assertEquals("", output.toString())
        }
    }

    @Nested
    inner class Change {
        @Test
        fun `submit sends the file based on the current revision`() {
            val file = folder.resolve("document.ini").also { it.writeText(TEXT) }
            assertEquals(0, run("submit", file.toString()))
            assertEquals(Revision(4), submitted.single().basedOn)
            assertContains(output, "\"revision\":5")
        }

        @Test
        fun `submit prints every fault`() {
            val faults = listOf("one", "two").map { ConfigurationError(1, "team a", "share", it, "a number") }
            answer = { SubmissionResult.Invalid(faults) }
            val file = folder.resolve("document.ini").also { it.writeText("x") }
            assertEquals(1, run("submit", file.toString()))
            faults.forEach { assertContains(errors, it.problem) }
        }

        @Test
        fun `a conflicting submission is reported with the id of the accepted one`() {
            answer = { SubmissionResult.Raced("form-of-another", Revision(5)) }
            val file = folder.resolve("document.ini").also { it.writeText(TEXT) }
            assertEquals(1, run("submit", file.toString()))
            assertContains(errors, "form-of-another")
        }

        @Test
        fun `recall submits the document with the recall added`() {
            assertEquals(0, run("recall", "blue", "--reason", "cracked fans"))
            assertContains(submitted.single().text, "[recall blue]")
        }

        @Test
        fun `drain reaches the router`() {
            assertEquals(0, run("drain"))
            assertEquals(true, isDrained)
        }

        @Test
        fun `an unavailable platform is reported as PLATFORM_UNAVAILABLE`() {
            answer = { SubmissionResult.Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE)) }
            assertEquals(1, run("recall", "blue", "--reason", "cracked fans"))
            assertContains(errors, "PLATFORM_UNAVAILABLE")
        }
    }

    private fun run(vararg arguments: String, token: String = TEST_OPERATOR_TOKEN): Int {
        val file = folder.resolve("token").also { it.writeText(token) }
        val address = listOf("--router", "127.0.0.1:${edge.actualPort}", "--token-file", file.toString())
        return CommandLine().run(arguments.toList() + address, Terminal(output, errors))
    }

    private companion object {
        const val TEXT =
            "[failure-domain south-a]\nregion = south\n[pool models]\nkind = model\n" +
                "[server engine-1]\npool = models\naddress = 127.0.0.1:9\nfailure-domain = south-a\nslots = 1\nbatch = blue\n"

        fun accepted(revision: Long, text: String): AcceptedDocument {
            val parsed = assertIs<ParseResult.Valid<azuredale.configuration.Document>>(DocumentParser.parse(text))
            return AcceptedDocument(Revision(revision), text, parsed.value)
        }
    }
}
