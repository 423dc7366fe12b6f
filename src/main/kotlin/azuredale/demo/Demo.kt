package azuredale.demo

import azuredale.time.Clock
import azuredale.time.Timestamp
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlin.random.Random

/**
 * The demo of the README: runs a small fleet on loopback under bounded load and prints a summary.
 *
 * @property loadSeconds how long callers send requests.
 * @property progress called about once a second with a status line.
 */
public class Demo(
    private val loadSeconds: Long,
    seed: Long,
    private val progress: (String) -> Unit,
) {
    private val clock: Clock = systemClock()
    private val random = Random(seed)
    private val recorder = DemoRecorder(DemoFleet.teamShares, clock)
    private var busySamples = 0L
    private var busyShareSum = 0.0

    /** Runs the demo, prints the summary to [output] and returns whether no guarantee was violated. */
    public fun run(output: Appendable): Boolean = runBlocking(Dispatchers.Default) {
        val vertx = Vertx.vertx()
        val fleet = DemoFleet(vertx)
        try {
            fleet.start()
            progress("3 routers, 4 engines and 1 service are ready; sending load for $loadSeconds s")
            load(vertx, fleet)
            if (!fleet.drain()) recorder.reportViolation("the routers did not finish draining in time")
            recorder.checkExecutions(
                fleet.service.executions
                    .groupingBy { it.body }
                    .eachCount(),
            )
        } finally {
            fleet.stop()
            vertx.close().coAwait()
        }
        DemoReport(recorder.summary(), utilisation(), controlBytes(fleet), loadSeconds).print(output)
    }

    private suspend fun load(vertx: Vertx, fleet: DemoFleet) = coroutineScope {
        val caller = DemoCaller(vertx, fleet.callerAddresses, recorder, random)
        val deadline = clock().plusSeconds(loadSeconds)
        val callers =
            DemoFleet.teamShares.keys.flatMap { team ->
                List(CALLERS_PER_TEAM) { launch { while (clock() < deadline) caller.complete(team) } } +
                    launch {
                        while (clock() < deadline) {
                            caller.releaseLocker(team)
                            delay(RELEASE_PAUSE_MILLISECONDS)
                        }
                    }
            }
        val sampler = launch { sampleSlots(fleet, deadline) }
        callers.joinAll()
        sampler.join()
        caller.close()
    }

    private suspend fun sampleSlots(fleet: DemoFleet, deadline: Timestamp) {
        var reportAt = clock().plusSeconds(1)
        while (clock() < deadline) {
            delay(SAMPLE_MILLISECONDS)
            busySamples++
            busyShareSum += fleet.busySlots().toDouble() / fleet.engineSlots
            if (clock() >= reportAt) {
                reportAt = reportAt.plusSeconds(1)
                val left = deadline.secondsSince(clock()).coerceAtLeast(0.0)
                val tokens =
                    recorder
                        .summary()
                        .tokens.entries
                        .joinToString { "${it.key} ${it.value}" }
                progress(
                    "%2.0f s left, busy slots %2d of %d, tokens: %s".format(
                        left,
                        fleet.busySlots(),
                        fleet.engineSlots,
                        tokens,
                    ),
                )
            }
        }
    }

    private fun utilisation(): Double = if (busySamples == 0L) 0.0 else busyShareSum / busySamples

    private fun controlBytes(fleet: DemoFleet): Long = fleet.routers.sumOf { it.controlBytesSent }

    private companion object {
        const val CALLERS_PER_TEAM = 24
        const val SAMPLE_MILLISECONDS = 20L
        const val RELEASE_PAUSE_MILLISECONDS = 200L
    }
}
