package azuredale.selftest

/** A complete response with a stamp to request [id], with a length or in one chunk. */
fun response(
    id: String,
    text: String,
    status: String = "200 OK",
    isChunked: Boolean = false,
    more: String = "",
): String {
    val framing = if (isChunked) "Transfer-Encoding: chunked" else "Content-Length: ${text.length}"
    val body = if (isChunked) "${text.length.toString(16)}\r\n$text\r\n0\r\n\r\n" else text
    return "HTTP/1.1 $status\r\nContent-Type: text/plain\r\nX-Azuredale-Request-Id: $id\r\n" +
        "X-Azuredale-Response-Stamp: 3e1b.07\r\n${more}$framing\r\n\r\n$body"
}
