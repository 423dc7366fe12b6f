package azuredale.routing

import io.vertx.core.MultiMap

/** HTTP headers exchanged with callers and backend servers. */
internal object Headers {
    const val TEAM = "Azuredale-Team"
    const val TICKET = "Azuredale-Ticket"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val IDEMPOTENT = "Azuredale-Idempotent"
    const val COST_HINT = "Azuredale-Cost-Hint"
    const val DEADLINE = "Azuredale-Deadline"
    const val OUTCOME = "Azuredale-Outcome"
    const val EXECUTION = "Azuredale-Execution"
    const val REQUEST = "Azuredale-Request"
    const val ATTEMPT = "Azuredale-Attempt"
    const val RESUME_AT = "Azuredale-Resume-At"

    private val hopByHop =
        setOf(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "content-length",
            "expect",
        )

    private val ownRequestHeaders = setOf(TEAM, TICKET, IDEMPOTENT, COST_HINT, DEADLINE).map { it.lowercase() }.toSet()

    /** Whether the request header [name] is forwarded from the caller to a plain service. */
    fun isForwarded(name: String): Boolean = name.lowercase().let { it !in hopByHop && it !in ownRequestHeaders }

    /** Whether the response header [name] is forwarded from a plain service to the caller. */
    fun isReturned(name: String): Boolean = name.lowercase().let { it !in hopByHop && !it.startsWith("azuredale-") }
}

/** Returns the first value of the header or parameter [name], or null. */
internal fun MultiMap.value(name: String): String? = get(name)
