package azuredale.platform

import azuredale.directory.BackendEntry
import azuredale.edge.ConnectionHints
import azuredale.edge.ResponseDecoder
import azuredale.gateway.BackendRequest
import azuredale.gateway.Header
import azuredale.gateway.ResponseHead
import azuredale.logging.EventLog
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.vertx.core.internal.buffer.BufferInternal

/** Encodes requests to backend servers and decodes the heads of their responses. */
internal object BackendCodec : ResponseDecoder {
    private const val MISDIRECTED = 421
    private const val UNAVAILABLE = 503
    private const val MILLISECONDS_PER_SECOND = 1_000.0
    private const val LEAVING = "1"
    private const val MAXIMUM_LOGGED_CHARACTERS = 40
    private val log = EventLog("azuredale.platform")
    private val keepAliveTime = Regex("""timeout\s*=\s*(\d+)""")

    /** Encodes the HTTP request of one attempt at [server]. */
    fun encode(request: BackendRequest, server: BackendEntry): FullHttpRequest {
        val head = request.head
        val body = (request.body as BufferInternal).byteBuf
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(head.method), head.target, body)
        val headers = message.headers()
        head.headers.forEach { headers.add(it.name, it.value) }
        headers.set(PlatformHeader.REQUEST_ID, head.id)
        headers.set(PlatformHeader.REMAINING_MILLISECONDS, request.remainingMilliseconds)
        headers.set(PlatformHeader.EXPECTED_SERVER, server.id.name)
        request.team?.let { headers.set(PlatformHeader.TEAM, it) }
        request.lastEventNumber?.let { headers.set(PlatformHeader.LAST_EVENT, it) }
        if (body.isReadable || head.method != "GET") headers.set("Content-Length", body.readableBytes())
        return message
    }

    override fun head(response: HttpResponse): ResponseHead {
        val headers = response.headers()
        val status = response.status().code()
        return ResponseHead(
            status = status,
            requestId = headers[PlatformHeader.REQUEST_ID],
            isStamped = headers.contains(PlatformHeader.RESPONSE_STAMP),
            isNotExecuted = headers.contains(PlatformHeader.NOT_EXECUTED) || status == MISDIRECTED,
            isDelimited = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response),
            isLeaving = headers.getAll(PlatformHeader.SERVER_LEAVING).any { it.trim() == LEAVING },
            retryAfterMilliseconds = if (status == UNAVAILABLE) retryAfter(headers) else null,
            requestsPerSecond = headers[PlatformHeader.SERVER_LIMIT]?.let(::limit),
            headers =
                headers.entries().filter { it.key.lowercase() !in CallerRequestDecoder.unforwardedHeaders }.map {
                    Header(
                        it.key,
                        it.value,
                    )
                },
        )
    }

    /** The longest time that the server names; a server may be behind a proxy that adds its own. */
    private fun retryAfter(headers: HttpHeaders): Long? =
        headers.getAll(PlatformHeader.RETRY_AFTER).mapNotNull(::milliseconds).maxOrNull()

    private fun milliseconds(text: String): Long? {
        val seconds = text.trim().toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0 }
        if (seconds == null) {
            log.write(PlatformLogEvent.RETRY_AFTER_MALFORMED, "value" to text.take(MAXIMUM_LOGGED_CHARACTERS))
        }
        return seconds?.let { (it * MILLISECONDS_PER_SECOND).toLong() }
    }

    private fun limit(text: String): Double? {
        val limit = text.trim().toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0 }
        if (limit == null) log.write(PlatformLogEvent.LIMIT_MALFORMED, "value" to text.take(MAXIMUM_LOGGED_CHARACTERS))
        return limit
    }

    override fun hints(response: HttpResponse): ConnectionHints {
        val headers = response.headers()
        val isClosing = headers.getAll("Connection").any { it.contains("close", ignoreCase = true) }
        val keepAlive =
            headers["Keep-Alive"]?.let {
                keepAliveTime
                    .find(it)
                    ?.groupValues
                    ?.get(1)
                    ?.toLongOrNull()
            }
        return ConnectionHints(isClosing, keepAlive)
    }
}
