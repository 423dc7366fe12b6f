package azuredale.explain

import azuredale.command.CommandLine
import azuredale.command.ExitCode
import azuredale.command.Terminal
import azuredale.engine.ServerLoad
import azuredale.gateway.FleetBounds
import azuredale.gateway.PromptPart
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.platform.StoreKey
import azuredale.selftest.GatewayFixture
import azuredale.standin.BackendBehaviour
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** An operator asks a running router where a request would go. */
class ExplainSpec {
    private val output = StringBuilder()
    private val errors = StringBuilder()

    private fun withGateway(bounds: FleetBounds = FleetBounds(), test: suspend GatewayFixture.() -> Unit) =
        runBlocking {
            val vertx = Vertx.vertx()
            try {
                withTimeout(60_000) {
                    val fixture = GatewayFixture(vertx, bounds = bounds)
                    fixture.start()
                    fixture.test()
                }
            } finally {
                vertx.close().coAwait()
            }
        }

    /** Runs the command against the router and returns its exit code. */
    private suspend fun GatewayFixture.explain(vararg arguments: String): Int = withContext(Dispatchers.IO) {
        output.clear()
        val router = listOf("explain", "--router", readinessAddress.toString())
        CommandLine().run(router + arguments, Terminal(output, errors))
    }

    private suspend fun GatewayFixture.explanation(vararg arguments: String): RoutingExplanation {
        assertEquals(ExitCode.SUCCESS, explain("--json", *arguments), errors.toString())
        return Json.decodeFromString(RoutingExplanation.serializer(), output.toString())
    }

    private val prompt = arrayOf("--route", "stream", "--team", "team-a", "--tokens", "300,20", "--parts", PARTS)

    @Nested
    inner class Requests {
        @Test
        fun `go to the server that the explanation names`() = withGateway {
            // Guards against an explanation by other rules than those of the decision.
            servers.forEach { it.behaviour = { BackendBehaviour.Stream(first = 1, last = 2) } }
            repeat(5) { round ->
                val explained = explanation(*prompt)
                assertEquals(RoutingVerdict.ADMITTED, explained.verdict, "round $round: $explained")
                get("/stream/x$round", prompt = PARTS)
                val served = servers.single { server -> server.calls.any { it.target == "/stream/x$round" } }
                assertEquals(explained.chosen, "server-${servers.indexOf(served)}", "round $round")
            }
        }

        @Test
        fun `that would be refused are explained by the kind of the refusal`() = withGateway {
            assertEquals("UNKNOWN_ROUTE", explanation("--host", "api.example", "--path", "/none/").kind)
            assertEquals("UNKNOWN_KEY", explanation("--route", "plain", "--team", "nobody").kind)
        }

        @Test
        fun `are kept from a leaving server with its reason`() = withGateway {
            register(0, readinessAddress, state = "draining")
            while (explanation(*prompt).servers.none { it.reason != null }) delay(20)
            val explained = explanation(*prompt)
            assertEquals("NOT_REGISTERED", explained.servers.single { it.server == "server-0" }.reason)
            assertEquals("server-1", explained.chosen)
        }
    }

    @Nested
    inner class Asking {
        @Test
        fun `sends nothing and changes no answer`() = withGateway {
            // Guards against questions that count as requests or reserve capacity.
            val first = explanation(*prompt)
            repeat(20) { explanation(*prompt) }
            val last = explanation(*prompt)
            assertEquals(first.servers, last.servers)
            assertEquals(0, servers.sumOf { server -> server.calls.count { it.target.startsWith("/stream/") } })
        }

        @Test
        fun `prints a table for operators`() = withGateway {
            assertEquals(ExitCode.SUCCESS, explain(*prompt))
            assertContains(output, "admitted, to server")
            assertContains(output, "first event ms")
        }

        @Test
        fun `fails with a clear error if the router does not answer or the question is wrong`() = withGateway {
            assertEquals(ExitCode.USAGE, explain("--team", "team-a"))
            assertContains(errors, "either a route or a host and a path is required")
            val closed = arrayOf("explain", "--router", "127.0.0.1:1", "--route", "plain")
            val code = withContext(Dispatchers.IO) { CommandLine().run(closed.toList(), Terminal(output, errors)) }
            assertEquals(ExitCode.FAILURE, code)
            assertContains(errors, "router at 127.0.0.1:1")
            assertNotNull(explanation("--route", "plain", "--team", "team-a").chosen)
        }
    }

    /** The cases of docs/OPERATIONS.md. */
    @Nested
    inner class WorkedCases {
        private val long =
            arrayOf("--route", "stream", "--team", "team-a", "--tokens", "9200,80", "--parts", "s:2500,a:3800,x:2900")

        private fun GatewayFixture.statistics() = checkNotNull(daemon).gateway.statistics

        private fun statisticsNow() = systemClock()()

        private fun GatewayFixture.addLoad(index: Int, load: ServerLoad) =
            statistics().loads.add(ServerId("server-$index"), load)

        /** Asks for a table and checks that the guide shows it, apart from numbers and the width of columns. */
        private suspend fun GatewayFixture.explainAsDocumented(vararg arguments: String) {
            assertEquals(ExitCode.SUCCESS, explain(*arguments))
            println(output)
            val documented = Path.of("docs/OPERATIONS.md").readLines().map(::withoutNumbers)
            val missing = output.lines().filter { withoutNumbers(it) !in documented }
            assertEquals(emptyList(), missing, "lines that docs/OPERATIONS.md does not show")
        }

        private fun withoutNumbers(line: String) = line.trim().replace(Regex("\\d+"), "0").replace(Regex(" +"), " ")

        @Test
        fun `a request is refused because all servers are busy`() = withGateway {
            repeat(2) { addLoad(it, ServerLoad(waitingTokens = 90_000, running = 8)) }
            explainAsDocumented(*long)
            assertContains(output, "refused: PREDICTED_LATE, return in")
        }

        @Test
        fun `a team above its share is refused, and another one is not`() = withGateway {
            writeCatalog(version = 2, keys = listOf(GatewayFixture.KEY), others = listOf("team-b"))
            val other = long.map { if (it == "team-a") "team-b" else it }.toTypedArray()
            while (explanation(*other).verdict == RoutingVerdict.REFUSED) delay(20)
            val now = statisticsNow()
            val usage = checkNotNull(daemon).gateway.usage
            usage.recordRequested(TeamId("team-a"), 400_000, now)
            usage.recordGranted(TeamId("team-a"), 100_000, now)
            usage.recordRequested(TeamId("team-b"), 50_000, now)
            usage.recordGranted(TeamId("team-b"), 50_000, now)
            repeat(2) { addLoad(it, ServerLoad(waitingTokens = 17_000, running = 4)) }
            explainAsDocumented(*long)
            assertContains(output, "refused: SHARE_EXCEEDED, return in")
            assertEquals(RoutingVerdict.ADMITTED, explanation(*other).verdict)
        }

        @Test
        fun `a kept prefix is passed over because its server has no room`() = withGateway {
            val parts = listOf(PromptPart("s", 2_500), PromptPart("a", 3_800))
            statistics().cache.record(ServerId("server-0"), parts)
            repeat(10) { statistics().memory.demand(PoolId("pool-a")).recordAsked(15_000, 8_700, statisticsNow()) }
            addLoad(0, ServerLoad(running = 6, committedTokens = 90_000))
            explainAsDocumented(*long)
            assertContains(output, "NO_ROOM")
            assertContains(output, "admitted, to server server-1")
        }

        @Test
        fun `a kept prefix is passed over because the wait costs more`() = withGateway {
            val parts = listOf(PromptPart("s", 2_500), PromptPart("a", 3_800))
            statistics().cache.record(ServerId("server-0"), parts)
            assertEquals("server-0", explanation(*long).chosen)
            addLoad(0, ServerLoad(waitingTokens = 60_000, running = 8))
            explainAsDocumented(*long)
            assertContains(output, "admitted, to server server-1")
        }

        @Test
        fun `an evacuated failure domain gets nothing`() =
            withGateway(FleetBounds(evacuationBoundMilliseconds = 5_000)) {
                platform.put(StoreKey.EVACUATIONS + "domain", "{}")
                while (explanation(*long).verdict == RoutingVerdict.ADMITTED) delay(20)
                explainAsDocumented(*long)
                assertContains(output, "refused: NO_ELIGIBLE_SERVER")
                assertContains(output, "EVACUATED")
            }
    }

    private companion object {
        const val PARTS = "a:100,b:100,c:100"
    }
}
