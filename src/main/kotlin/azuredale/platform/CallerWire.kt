package azuredale.platform

import azuredale.edge.DecodedHead
import azuredale.gateway.Header
import azuredale.gateway.MalformedHead
import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.gateway.RequestHead
import io.vertx.core.MultiMap
import io.vertx.core.http.HttpServerRequest

/** Decodes requests of callers. */
internal object CallerWire {
    /** The head of [request]. */
    fun decode(request: HttpServerRequest): DecodedHead {
        val headers: MultiMap = request.headers()
        val id = headers.text(WireHeader.REQUEST_ID)
        val host = headers.text("Host")
        if (id.isNullOrEmpty()) return malformed("header ${WireHeader.REQUEST_ID} is missing")
        if (host.isNullOrEmpty()) return malformed("header Host is missing")
        val authorization = headers.text(WireHeader.AUTHORIZATION)
        return DecodedHead.Valid(
            RequestHead(
                id = id,
                method = request.method().name(),
                target = request.uri(),
                host = host,
                remainingMilliseconds = headers.text(WireHeader.REMAINING_MILLISECONDS)?.toDoubleOrNull()?.toLong(),
                key =
                    authorization
                        ?.takeIf {
                            it.startsWith(
                                WireHeader.KEY_SCHEME,
                            )
                        }?.drop(WireHeader.KEY_SCHEME.length),
                prompt =
                    prompt(
                        headers.text(WireHeader.PROMPT_PARTS),
                        headers.text(WireHeader.TOKEN_COUNT),
                        headers.text(WireHeader.LENGTH_HINT),
                    ),
                lastEventNumber = headers.text(WireHeader.LAST_EVENT)?.toLongOrNull(),
                headers = passedOn(headers.entries(), headers.getAll("Connection")),
            ),
        )
    }

    private fun MultiMap.text(name: String): String? = get(name)

    private fun malformed(detail: String) = DecodedHead.Malformed(MalformedHead(detail))

    /** Parts are `ID:TOKENS` entries; the count is `PROMPT,MAXIMUM OUTPUT`. */
    private fun prompt(parts: String?, counts: String?, hint: String?): PromptShape? {
        val prompt = counts?.substringBefore(',')?.trim()?.toIntOrNull() ?: return null
        val output = counts.substringAfter(',', "").trim().toIntOrNull() ?: 0
        val decoded =
            parts.orEmpty().split(',').mapNotNull { entry ->
                val tokens = entry.substringAfter(':', "").trim().toIntOrNull() ?: return@mapNotNull null
                PromptPart(entry.substringBefore(':').trim(), tokens)
            }
        return PromptShape(decoded, prompt, output, hint?.trim()?.toDoubleOrNull()?.toInt())
    }

    private fun passedOn(headers: List<Map.Entry<String, String>>, connection: List<String>): List<Header> {
        // A caller cannot have a header dropped on which the server's work depends.
        val named =
            connection
                .flatMap { it.split(',') }
                .map { it.trim().lowercase() }
                .filterNotTo(HashSet()) { it.startsWith(OWN_PREFIX) }
        return headers
            .filter { (name, _) -> name.lowercase().let { it !in ofConnection && it !in named && it !in setByRouter } }
            .map { Header(it.key, it.value) }
    }

    /** Headers that concern one connection only, or that are written anew with the body. */
    val ofConnection: Set<String> =
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
    private val setByRouter: Set<String> =
        WireHeader.RESERVED +
            setOf(
                WireHeader.REQUEST_ID,
                WireHeader.REMAINING_MILLISECONDS,
                WireHeader.AUTHORIZATION,
                WireHeader.LAST_EVENT,
            ).map { it.lowercase() }
}
