package azuredale.routing

import azuredale.configuration.AcceptedDocument
import azuredale.identity.PoolId
import azuredale.identity.RequestNumber
import azuredale.identity.TeamId
import azuredale.logging.EventLog
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.outcome.Outcome
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import java.util.concurrent.atomic.AtomicLong

/** Dependencies of [CallerEdge] on the rest of the router. */
internal class CallerEdgeDependencies(
    val document: () -> AcceptedDocument?,
    val addresses: (AddressQuery, Timestamp) -> Outcome<AddressPlan>,
    val accept: (Exchange, CallerRequest) -> Unit,
    val clock: Clock,
)

/** HTTP routes for callers: parses completion and service requests and handles address queries. */
internal class CallerEdge(
    private val vertx: Vertx,
    private val settings: EdgeSettings,
    private val dependencies: CallerEdgeDependencies,
) {
    private val log = EventLog("azuredale.routing")
    private val parser = RequestParser(settings)
    private val lastNumber = AtomicLong()

    fun router(): Router {
        val router = Router.router(vertx)
        router.route().handler(::enforceLimits)
        router.get("/v1/address").handler(::address)
        val body = BodyHandler.create(false).setBodyLimit(settings.maximumRequestBytes.toLong())
        router.post("/v1/completions").handler(body).handler { completion(it, isChat = false) }
        router.post("/v1/chat/completions").handler(body).handler { completion(it, isChat = true) }
        router.route("/service/:pool/*").handler(body).handler(::service)
        router.route().handler { fail(it, Failure(ErrorKind.INVALID_REQUEST, "no such path")) }
        router.route().failureHandler(::handleFailure)
        return router
    }

    private fun enforceLimits(context: RoutingContext) {
        if (context.request().headers().size() > settings.maximumHeaders) {
            return fail(context, Failure(ErrorKind.REQUEST_TOO_LARGE, "more than ${settings.maximumHeaders} headers"))
        }
        val request = context.request()
        val timer =
            vertx.setTimer(settings.bodyTimeoutSeconds * MILLISECONDS_PER_SECOND) {
                if (!request.isEnded) request.connection().close()
            }
        context.addEndHandler { vertx.cancelTimer(timer) }
        context.next()
    }

    private fun completion(context: RoutingContext, isChat: Boolean) {
        val body =
            when (val parsed = CompletionBody.parse(context.body().buffer(), isChat)) {
                is Outcome.Success -> parsed.value
                is Outcome.Refused -> return fail(context, parsed.failure)
            }
        val number = RequestNumber(lastNumber.incrementAndGet())
        val headers = context.request().headers()
        when (val parsed = parser.completion(number, headers, body, dependencies.document(), dependencies.clock())) {
            is Outcome.Refused -> fail(context, parsed.failure)
            is Outcome.Success -> {
                val isStored = parsed.value.identity != RequestIdentity.Idempotent
                val stream = CallerStream(context.response(), settings.callerQueueBytes)
                val response =
                    CompletionResponse(stream, body, requestId(number), settings, isStored, dependencies.clock)
                val none = MultiMap.caseInsensitiveMultiMap()
                val call =
                    BackendCall(context.request().method(), context.request().path().orEmpty(), none, body.engineBody)
                dependencies.accept(exchange(parsed.value, call, response), parsed.value)
            }
        }
    }

    private fun service(context: RoutingContext) {
        val request = context.request()
        val pool = PoolId(context.pathParam("pool").orEmpty())
        val number = RequestNumber(lastNumber.incrementAndGet())
        when (val parsed = parser.service(number, request.headers(), pool, request.method(), dependencies.clock())) {
            is Outcome.Refused -> fail(context, parsed.failure)
            is Outcome.Success -> {
                val response =
                    ServiceResponse(CallerStream(context.response(), settings.callerQueueBytes), dependencies.clock)
                val call =
                    BackendCall(
                        request.method(),
                        serviceUri(request),
                        forwarded(request.headers()),
                        context.body().buffer() ?: Buffer.buffer(),
                    )
                dependencies.accept(exchange(parsed.value, call, response), parsed.value)
            }
        }
    }

    private fun address(context: RoutingContext) {
        val parameters = context.queryParams()
        val team = parameters.value("team")
        val count = parameters.value("count")?.let { it.toIntOrNull() ?: 0 } ?: DEFAULT_ADDRESSES
        val tickets = parameters.value("tickets")?.let { it.toIntOrNull() ?: -1 } ?: 0
        if (team.isNullOrEmpty() || count < 1 || tickets < 0) {
            return fail(context, Failure(ErrorKind.INVALID_REQUEST, "team, count or tickets is missing or malformed"))
        }
        val query = AddressQuery(TeamId(team), count, tickets)
        when (val outcome = dependencies.addresses(query, dependencies.clock())) {
            is Outcome.Refused -> fail(context, outcome.failure)
            is Outcome.Success -> context.json(encode(outcome.value))
        }
    }

    private fun encode(plan: AddressPlan): JsonObject {
        val addresses =
            plan.addresses.map { planned ->
                JsonObject()
                    .put("router", planned.router.name)
                    .put("address", planned.address.toString())
                    .put("failureDomain", planned.failureDomain.name)
                    .put("tickets", JsonArray(planned.tickets))
            }
        return JsonObject().put("addresses", JsonArray(addresses)).put("validUntil", plan.validUntil.toMilliseconds())
    }

    private fun exchange(request: CallerRequest, call: BackendCall, response: CallerResponse): Exchange = Exchange(
        request.number,
        requestId(request.number),
        vertx.orCreateContext,
        call,
        response,
        isIdempotent = request.identity == RequestIdentity.Idempotent,
    )

    private fun requestId(number: RequestNumber) = "${settings.router}-${settings.incarnation}-$number"

    /** Returns the part of the request URI that follows the pool name, including the query string. */
    private fun serviceUri(request: HttpServerRequest): String {
        val afterPrefix = request.uri().removePrefix(SERVICE_PREFIX)
        return "/" + afterPrefix.substringAfter('/', missingDelimiterValue = "")
    }

    private fun forwarded(headers: MultiMap): MultiMap {
        val result = MultiMap.caseInsensitiveMultiMap()
        headers.forEach { (name, value) -> if (Headers.isForwarded(name)) result.add(name, value) }
        return result
    }

    private fun handleFailure(context: RoutingContext) {
        val failure = context.failure()
        when {
            context.statusCode() == PAYLOAD_TOO_LARGE ->
                fail(
                    context,
                    Failure(ErrorKind.REQUEST_TOO_LARGE, "body larger than ${settings.maximumRequestBytes} bytes"),
                )
            failure != null && context.statusCode() >= SERVER_ERROR -> {
                log.write(RoutingLogEvent.EDGE_FAULT, "path" to context.request().path(), cause = failure)
                fail(context, Failure(ErrorKind.OVERLOADED, "internal failure"))
            }
            else -> fail(context, Failure(ErrorKind.INVALID_REQUEST, "the request cannot be read"))
        }
    }

    private fun fail(context: RoutingContext, failure: Failure) {
        log.write(RoutingLogEvent.CALLER_REQUEST_INVALID, "kind" to failure.kind, "detail" to failure.detail)
        ErrorResponse.send(context.response(), failure, dependencies.clock())
    }

    private companion object {
        const val DEFAULT_ADDRESSES = 3
        const val MILLISECONDS_PER_SECOND = 1_000L
        const val SERVICE_PREFIX = "/service/"
        const val PAYLOAD_TOO_LARGE = 413
        const val SERVER_ERROR = 500
    }
}
