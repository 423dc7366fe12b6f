package azuredale.edge

import io.netty.handler.codec.http.HttpResponse

private val statusLine = Regex("""HTTP/1\.[01] \d{3}""")

/**
 * Whether a response head contains the status line of a further response, within its reason phrase or its headers.
 *
 * A server that sends the beginning of a response and then another response produces such a head. Its fields come from
 * both of them, so none can be trusted. Bytes sent before the response to a request cannot be told from it otherwise.
 */
internal fun isJoinedHead(reason: String, headers: Iterable<Map.Entry<String, String>>): Boolean =
    containsStatusLine(reason) || headers.any { containsStatusLine(it.key) || containsStatusLine(it.value) }

/** Looks for the fixed part first, which is faster than the pattern. */
private fun containsStatusLine(text: String) = "HTTP/1." in text && statusLine.containsMatchIn(text)

/** Status codes that HTTP gives a meaning by their first digit. */
private val STATUS_CODES = 100..599

/** Why the head of [response] means nothing although it could be decoded, null if it does. */
internal fun headFault(response: HttpResponse): String? = when {
    response.status().code() !in STATUS_CODES -> "status ${response.status().code()}"
    isJoinedHead(response.status().reasonPhrase(), response.headers()) ->
        "its head contains the status line of another response"
    else -> null
}
