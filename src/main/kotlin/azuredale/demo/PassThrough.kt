package azuredale.demo

import azuredale.identity.NetworkAddress
import azuredale.standin.EngineSettings
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.ConcurrentHistogram

/**
 * Compares streams through one router with streams sent directly to the same engine stand-in, in alternating phases.
 *
 * @property phaseSeconds length of each phase.
 */
public class PassThrough(private val phaseSeconds: Long) {
    private class Phase {
        val times = ConcurrentHistogram(LONGEST_MICROSECONDS, DIGITS)
    }

    /** Runs the comparison and prints the throughput of both, their ratio and the added latency. */
    public fun run(output: Appendable) {
        val direct = Phase()
        val routed = Phase()
        runBlocking(Dispatchers.Default) {
            val vertx = Vertx.vertx()
            val fleet = DemoFleet(vertx, listOf(engine))
            val options = PoolOptions().setHttp1MaxSize(CALLERS).setEventLoopSize(EVENT_LOOPS)
            val client = vertx.createHttpClient(HttpClientOptions(), options)
            try {
                fleet.start()
                val router = fleet.callerAddresses.first()
                val engineAddress = fleet.engineAddresses.first()
                load(client, engineAddress, Phase())
                load(client, router, Phase())
                repeat(ROUNDS) {
                    load(client, engineAddress, direct)
                    load(client, router, routed)
                }
            } finally {
                fleet.stop()
                vertx.close().coAwait()
            }
        }
        print(output, direct, routed)
    }

    private suspend fun load(client: HttpClient, address: NetworkAddress, phase: Phase) = coroutineScope {
        val end = System.nanoTime() + phaseSeconds * NANOSECONDS_PER_SECOND
        List(CALLERS) {
            launch {
                while (System.nanoTime() < end) {
                    val start = System.nanoTime()
                    stream(client, address)
                    phase.times.recordValue((System.nanoTime() - start) / NANOSECONDS_PER_MICROSECOND)
                }
            }
        }.joinAll()
    }

    private suspend fun stream(client: HttpClient, address: NetworkAddress) {
        val options =
            RequestOptions()
                .setHost(address.host)
                .setPort(address.port)
                .setURI("/v1/completions")
                .setMethod(HttpMethod.POST)
                .putHeader(
                    "Azuredale-Team",
                    DemoFleet.teamShares.keys
                        .first()
                        .name,
                )
        val body =
            client
                .request(options)
                .compose { request ->
                    request.send(requestBody).compose { response -> response.body() }
                }.coAwait()
        check(body.toString(Charsets.UTF_8).contains("[DONE]")) { "$address did not complete a stream: $body" }
    }

    private fun print(output: Appendable, direct: Phase, routed: Phase) {
        val seconds = phaseSeconds.toDouble() * ROUNDS
        val rates = listOf(direct, routed).map { it.times.totalCount / seconds }
        output.appendLine("streams of $TOKENS tokens, $CALLERS callers, $ROUNDS phases of $phaseSeconds s each")
        output.appendLine("direct: %.0f streams/s, through one router: %.0f streams/s".format(rates[0], rates[1]))
        output.appendLine("throughput ratio: %.2f (target at least 0.5)".format(rates[1] / rates[0]))
        listOf(MEDIAN_PERCENTILE, TAIL_PERCENTILE).forEach { percentile ->
            val times = listOf(direct, routed).map { it.times.getValueAtPercentile(percentile) }
            output.appendLine(
                "time of a stream at the %.0fth percentile: direct %d us, routed %d us, added %d us"
                    .format(percentile, times[0], times[1], times[1] - times[0]),
            )
        }
    }

    private companion object {
        const val CALLERS = 64
        const val TOKENS = 64
        const val ROUNDS = 3
        const val EVENT_LOOPS = 4
        const val DIGITS = 3
        const val MEDIAN_PERCENTILE = 50.0
        const val TAIL_PERCENTILE = 99.0
        const val LONGEST_MICROSECONDS = 60_000_000L
        const val NANOSECONDS_PER_SECOND = 1_000_000_000L
        const val NANOSECONDS_PER_MICROSECOND = 1_000L

        /** Fast enough that the engine is never the bottleneck. */
        val engine = EngineSettings(slots = 256, tokensPerSecond = 20_000.0, firstTokenMilliseconds = 1)
        val requestBody: Buffer =
            JsonObject()
                .put("model", DemoFleet.MODEL)
                .put("prompt", "how long does this take?")
                .put("max_tokens", TOKENS)
                .put("stream", true)
                .toBuffer()
    }
}
