package azuredale.platform

import azuredale.edge.DecodedHead
import azuredale.gateway.Header
import azuredale.gateway.MalformedHead
import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.gateway.RequestHead
import azuredale.gateway.RequestPreview
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.vertx.core.MultiMap
import io.vertx.core.http.HttpServerRequest

/** Decodes the heads of caller requests. */
internal object CallerRequestDecoder {
    /** Decodes the head of [request]; it is malformed without a request id and `Host`. */
    fun decode(request: HttpServerRequest): DecodedHead {
        val headers: MultiMap = request.headers()
        val id = headers.text(PlatformHeader.REQUEST_ID)
        val host = headers.text("Host")
        if (id.isNullOrEmpty()) return malformed("header ${PlatformHeader.REQUEST_ID} is missing")
        if (host.isNullOrEmpty()) return malformed("header Host is missing")
        return DecodedHead.Valid(
            RequestHead(
                id = id,
                method = request.method().name(),
                target = request.uri(),
                host = host,
                remainingMilliseconds = remainingMilliseconds(headers.text(PlatformHeader.REMAINING_MILLISECONDS)),
                key = key(headers.text(PlatformHeader.AUTHORIZATION)),
                prompt =
                    prompt(
                        headers.text(PlatformHeader.PROMPT_PARTS),
                        headers.text(PlatformHeader.TOKEN_COUNT),
                        headers.text(PlatformHeader.LENGTH_HINT),
                    ),
                lastEventNumber = headers.text(PlatformHeader.LAST_EVENT)?.toLongOrNull(),
                resumedRequest = headers.text(PlatformHeader.RESUMED_REQUEST)?.trim()?.ifEmpty { null },
                headers = forwardedHeaders(headers.entries(), headers.getAll("Connection")),
            ),
        )
    }

    /** Decodes only what tells whether the router has time for [request]. */
    fun preview(request: HttpRequest): RequestPreview = HeaderPreview(request.headers())

    private class HeaderPreview(private val headers: HttpHeaders) : RequestPreview {
        override val id: String? get() = headers.get(PlatformHeader.REQUEST_ID)
        override val key: String? get() = key(headers.get(PlatformHeader.AUTHORIZATION))
        override val remainingMilliseconds: Long?
            get() = remainingMilliseconds(headers.get(PlatformHeader.REMAINING_MILLISECONDS))
    }

    private fun key(authorization: String?): String? =
        authorization?.takeIf { it.startsWith(PlatformHeader.KEY_SCHEME) }?.drop(PlatformHeader.KEY_SCHEME.length)

    private fun remainingMilliseconds(text: String?): Long? = text?.toDoubleOrNull()?.toLong()

    private fun MultiMap.text(name: String): String? = get(name)

    private fun malformed(detail: String) = DecodedHead.Malformed(MalformedHead(detail))

    /**
     * Decodes the prompt headers: [parts] is a comma-separated list of `ID:TOKENS`, [counts] is
     * `PROMPT_TOKENS,MAXIMUM_OUTPUT_TOKENS`, and [hint] is the expected output length in tokens.
     */
    private fun prompt(parts: String?, counts: String?, hint: String?): PromptShape? {
        val prompt = counts?.substringBefore(',')?.trim()?.toIntOrNull() ?: return null
        val output = counts.substringAfter(',', "").trim().toIntOrNull() ?: 0
        val decoded = parts.orEmpty().split(',').mapNotNull(PromptPart::parse)
        return PromptShape(decoded, prompt, output, hint?.trim()?.toDoubleOrNull()?.toInt())
    }

    private fun forwardedHeaders(headers: List<Map.Entry<String, String>>, connection: List<String>): List<Header> {
        // Ignores `X-Azuredale-` names in the `Connection` header; otherwise a caller could remove headers that the
        // backend server depends on.
        val named =
            connection
                .flatMap { it.split(',') }
                .map { it.trim().lowercase() }
                .filterNotTo(HashSet()) { it.startsWith(OWN_PREFIX) }
        return headers
            .filter { (name, _) ->
                name.lowercase().let {
                    it !in unforwardedHeaders &&
                        it !in named &&
                        it !in headersSetByRouter
                }
            }.map { Header(it.key, it.value) }
    }

    /** Hop-by-hop headers and headers that are rewritten with the body; neither kind is forwarded. */
    val unforwardedHeaders: Set<String> =
        setOf(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
        )
    private const val OWN_PREFIX = "x-azuredale-"
    private val headersSetByRouter: Set<String> =
        PlatformHeader.RESERVED +
            setOf(
                PlatformHeader.REQUEST_ID,
                PlatformHeader.REMAINING_MILLISECONDS,
                PlatformHeader.AUTHORIZATION,
                PlatformHeader.LAST_EVENT,
            ).map { it.lowercase() }
}
