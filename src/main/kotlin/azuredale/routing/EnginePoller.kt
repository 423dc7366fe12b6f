package azuredale.routing

import azuredale.configuration.BackendServer
import azuredale.identity.ServerId
import azuredale.logging.EventLog
import azuredale.node.NodeEvent
import azuredale.sharing.CacheEvent
import azuredale.sharing.LoadReport
import azuredale.time.Clock
import io.vertx.core.Vertx
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay

/**
 * Polls model engines for their load and cache events and posts the results to [events].
 *
 * @param servers returns the engines to poll; called once per round.
 */
public class EnginePoller(
    vertx: Vertx,
    private val events: NodeEventSink,
    private val servers: () -> List<BackendServer>,
    private val clock: Clock,
    private val periodMilliseconds: Long = 500,
) {
    private val log = EventLog("azuredale.routing")
    private val client =
        WebClient.create(
            vertx,
            WebClientOptions().setConnectTimeout(periodMilliseconds.toInt()),
        )
    private val nextEvent = HashMap<ServerId, Long>()

    /** Polls until cancelled. */
    public suspend fun run() {
        while (true) {
            pollOnce()
            delay(periodMilliseconds)
        }
    }

    /** Polls every server once. Logs and skips servers that do not respond. */
    public suspend fun pollOnce(): Unit = coroutineScope {
        val polled = servers()
        nextEvent.keys.retainAll(polled.map { it.id }.toSet())
        val results = polled.map { server -> async { poll(server) } }.awaitAll().filterNotNull()
        for (result in results) {
            events.post(NodeEvent.LoadReported(result.load))
            if (result.events.isNotEmpty()) events.post(NodeEvent.CacheEventsReceived(result.events))
            nextEvent[result.load.server] = result.next
        }
    }

    private suspend fun poll(server: BackendServer): PollResult? = try {
        val load = get(server, "/load")
        val after = nextEvent[server.id] ?: 0L
        val events = get(server, "/cache-events?after=$after")
        PollResult(loadReport(server, load), cacheEvents(server, events), events.getLong("next", after))
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Exception) {
        log.write(RoutingLogEvent.POLL_FAILED, "server" to server.id, "detail" to failure.message)
        null
    }

    private suspend fun get(server: BackendServer, path: String): JsonObject {
        val request = client.get(server.address.port, server.address.host, path).timeout(periodMilliseconds)
        val body: JsonObject? = request.send().coAwait().bodyAsJsonObject()
        return requireNotNull(body) { "$path answered without a body" }
    }

    private fun loadReport(server: BackendServer, load: JsonObject): LoadReport = LoadReport(
        server.id,
        server.failureDomain,
        load.getInteger("running"),
        load.getInteger("waiting"),
        load.getDouble("unitsPerSecond"),
        // Engines report the age of their load figures, so that no clock synchronization is needed.
        clock().plusMilliseconds(-load.getLong("ageMilliseconds", 0L)),
    )

    private fun cacheEvents(server: BackendServer, body: JsonObject): List<CacheEvent> =
        body.getJsonArray("events").take(MAXIMUM_EVENTS).map { event ->
            val fields = event as JsonObject
            CacheEvent(server.id, fields.getLong("prefix"), fields.getBoolean("evicted"))
        }

    private class PollResult(
        val load: LoadReport,
        val events: List<CacheEvent>,
        val next: Long,
    )

    private companion object {
        const val MAXIMUM_EVENTS = 1_024
    }
}
