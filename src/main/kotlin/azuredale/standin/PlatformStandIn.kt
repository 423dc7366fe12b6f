package azuredale.standin

import azuredale.platform.PlatformHeader
import azuredale.platform.PlatformPath
import azuredale.store.CallRateLimiter
import azuredale.time.Clock
import azuredale.time.systemClock
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.atomic.AtomicLong

/**
 * Simulates the platform for tests: its key-value store and its list of VMs.
 *
 * `GET /control` returns the number of calls and of open watches; `POST /control` sets faults and the VM list:
 *
 * ```
 * {"down": true, "delay_milliseconds": 50, "lost_replies": 1, "lost_requests": 0, "error_status": 503,
 *  "calls_per_second": 100, "end_leases": true, "break_watches": true, "forget_history": true,
 *  "copy": true, "restore": true,
 *  "vms": {"live": ["127.0.0.1"], "leaving": [], "lag_milliseconds": 500}}
 * ```
 *
 * ```
 * val standIn = PlatformStandIn(vertx)
 * val port = standIn.start()
 * standIn.faults = PlatformFaults(isDown = true)
 * ```
 */
public class PlatformStandIn(
    private val vertx: Vertx,
    private val clock: Clock = systemClock(),
) {
    internal val store = KeyValueStore(clock)
    private val calls = StoreStandIn(vertx, store)
    private val list = DelayedVirtualMachineList(clock)
    private val callCount = AtomicLong()
    private var limit: Pair<Int, CallRateLimiter>? = null
    private var server: HttpServer? = null
    private var timer: Long? = null

    @Volatile
    private var copy: StoreCopy? = null

    /** Faults injected into further calls. */
    @Volatile
    public var faults: PlatformFaults = PlatformFaults()
        set(value) {
            field = value
            if (value.isDown) breakWatches()
        }

    /** Number of calls received, including failed ones; a watch counts as one call. */
    public val callsReceived: Long get() = callCount.get()

    /** Number of open watches. */
    public val openWatches: Int get() = calls.openWatches

    /** Listens on [port] of the loopback interface, or on a free port if it is 0; returns the port. */
    public suspend fun start(port: Int = 0): Int {
        val router = Router.router(vertx)
        router.get("/control").handler { it.json(JsonObject().put("calls", callsReceived).put("watches", openWatches)) }
        router.post("/control").handler(BodyHandler.create(false)).handler(::control)
        router.get("/vms").handler { admit(it) { listVirtualMachines(it) } }
        router.route("/azuredale/*").handler(BodyHandler.create(false)).handler { admit(it) { call(it) } }
        val started =
            vertx
                .createHttpServer()
                .requestHandler(router)
                .listen(port, LOOPBACK)
                .coAwait()
        server = started
        timer = vertx.setPeriodic(EXPIRY_PERIOD_MILLISECONDS) { store.expire() }
        return started.actualPort()
    }

    /** Closes the listener and every connection. */
    public suspend fun stop() {
        timer?.let(vertx::cancelTimer)
        server?.close()?.coAwait()
    }

    /** Replaces the VM list; readers see the change after [lagMilliseconds]. */
    public fun setVirtualMachines(live: List<String>, leaving: List<String> = emptyList(), lagMilliseconds: Long = 0) {
        list.set(live, leaving, lagMilliseconds)
    }

    /** Closes the connection of every watch. */
    public fun breakWatches() {
        calls.breakWatches()
    }

    /** Ends all leases, as happens when their holders pause for too long. */
    public fun endLeases() {
        store.endLeases()
    }

    /** Stores [value] under [key] unconditionally, as another process would. */
    public fun put(key: String, value: String) {
        store.transact(emptyMap(), listOf(Put(key, value.encodeToByteArray(), lease = 0)), emptyList())
    }

    /** Removes [key]. */
    public fun remove(key: String) {
        store.transact(emptyMap(), emptyList(), listOf(key))
    }

    /** Discards the change history, so that watches cannot continue from an earlier revision. */
    public fun forgetHistory() {
        store.compact()
        breakWatches()
    }

    /** Remembers the store's present contents for [restore]. */
    public fun copy() {
        copy = store.copy()
    }

    /** Returns the store from its last [copy] in a new era. What was written since is gone, and watches end. */
    public fun restore() {
        store.restore(checkNotNull(copy) { "copy() comes first" })
        breakWatches()
    }

    private fun admit(context: RoutingContext, handle: () -> Unit) {
        callCount.incrementAndGet()
        val status = faults.errorStatus
        when {
            faults.isDown -> context.request().connection().close()
            status != null -> fail(context, status, "injected error")
            !isWithinLimit() -> fail(context, TOO_MANY_CALLS, "too many calls")
            else -> handle()
        }
    }

    private fun isWithinLimit(): Boolean {
        val rate = faults.callsPerSecond ?: return true
        val known =
            limit?.takeIf { it.first == rate }
                ?: (rate to CallRateLimiter(rate.toDouble(), rate, clock)).also { limit = it }
        return known.second.tryAcquire()
    }

    private fun call(context: RoutingContext) {
        val path = context.request().path().orEmpty()
        val isWrite = path == PlatformPath.TRANSACTION
        if (isWrite && faults.lostRequests > 0) {
            faults = faults.copy(lostRequests = faults.lostRequests - 1)
            context.request().connection().close()
            return
        }
        if (path == PlatformPath.WATCH) return calls.watch(context)
        val answer = calls.answer(context.request(), context.body().asString().orEmpty())
        if (isWrite && faults.lostReplies > 0) {
            faults = faults.copy(lostReplies = faults.lostReplies - 1)
            context.request().connection().close()
        } else {
            delayed { reply(context, answer) }
        }
    }

    private fun reply(context: RoutingContext, answer: StoreResponse) {
        val response = context.response()
        if (response.closed()) return
        response
            .setStatusCode(answer.status)
            .putHeader("Content-Type", "application/json")
            .putHeader(PlatformHeader.STORE_ERA, store.era.toString())
            .end(answer.body)
    }

    private fun delayed(action: () -> Unit) {
        val delay = faults.delayMilliseconds
        if (delay > 0) vertx.setTimer(delay) { action() } else action()
    }

    private fun listVirtualMachines(context: RoutingContext) = delayed {
        val (live, leaving) = list.visible()
        context.json(JsonObject().put("live", JsonArray(live)).put("leaving", JsonArray(leaving)))
    }

    private fun fail(context: RoutingContext, status: Int, message: String) {
        val body = JsonObject().put("error", message).put("message", message)
        context
            .response()
            .setStatusCode(status)
            .putHeader(PlatformHeader.STORE_ERA, store.era.toString())
            .end(Buffer.buffer(body.encode()))
    }

    private fun control(context: RoutingContext) {
        val order = context.body().asJsonObject() ?: JsonObject()
        faults =
            PlatformFaults(
                isDown = order.getBoolean("down", false),
                delayMilliseconds = order.getLong("delay_milliseconds", 0),
                lostReplies = order.getInteger("lost_replies", 0),
                lostRequests = order.getInteger("lost_requests", 0),
                errorStatus = order.getInteger("error_status"),
                callsPerSecond = order.getInteger("calls_per_second"),
            )
        if (order.getBoolean("end_leases", false)) endLeases()
        if (order.getBoolean("break_watches", false)) breakWatches()
        if (order.getBoolean("forget_history", false)) forgetHistory()
        if (order.getBoolean("copy", false)) copy()
        if (order.getBoolean("restore", false)) restore()
        order.getJsonObject("vms")?.let { vms ->
            setVirtualMachines(names(vms, "live"), names(vms, "leaving"), vms.getLong("lag_milliseconds", 0))
        }
        context.json(JsonObject().put("calls", callsReceived))
    }

    private fun names(body: JsonObject, field: String): List<String> =
        body.getJsonArray(field, JsonArray()).map { it.toString() }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val TOO_MANY_CALLS = 429
        const val EXPIRY_PERIOD_MILLISECONDS = 50L
    }
}
