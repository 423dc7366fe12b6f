package azuredale.explain

import kotlinx.serialization.Serializable

/** What a router would do with a request. */
@Serializable
public enum class RoutingVerdict {
    /** It would send the request to the chosen server. */
    ADMITTED,

    /** It would refuse the request as not run. */
    REFUSED,
}

/**
 * One server of the pool as the router sees it.
 *
 * @property reason why the server may not get the request, null if it may.
 * @property freeTokens tokens of its memory that no request in progress takes, null if its pool declares none.
 * @property keptTokens tokens of the prompt that the server probably keeps.
 * @property predictedMilliseconds predicted time to the first event; 0 for a request without a prompt.
 * @property costs terms of the cost in milliseconds; the eligible server with the lowest sum is chosen.
 */
@Serializable
public data class ServerExplanation(
    val server: String,
    val failureDomain: String,
    val state: String,
    val reason: String? = null,
    val running: Int = 0,
    val waitingTokens: Int = 0,
    val freeTokens: Long? = null,
    val keptTokens: Int = 0,
    val predictedMilliseconds: Double = 0.0,
    val costs: Map<String, Double> = emptyMap(),
) {
    /** Sum of all terms, in milliseconds. */
    public val cost: Double get() = costs.values.sum()
}

/**
 * Where a request would go now, and why.
 *
 * @property kind the kind of the refusal, null if the request is admitted.
 * @property detail what the refusal says besides.
 * @property retryMilliseconds when its caller would be asked to return, null without a refusal or a time.
 * @property chosen the server that would get the request.
 * @property catalogAge milliseconds since the configuration was known to be the newest, null if it never was.
 * @property directoryAge milliseconds since the list of servers was known to be the newest, null if it never was.
 * @property loadAge milliseconds since which the oldest load that another router reported may have changed, null if
 *   there is none. Loads, memory and kept parts of the servers rest on these reports.
 */
@Serializable
public data class RoutingExplanation(
    val router: String,
    val verdict: RoutingVerdict,
    val kind: String? = null,
    val detail: String = "",
    val retryMilliseconds: Long? = null,
    val route: String? = null,
    val pool: String? = null,
    val team: String? = null,
    val chosen: String? = null,
    val servers: List<ServerExplanation> = emptyList(),
    val catalogAge: Long? = null,
    val directoryAge: Long? = null,
    val loadAge: Long? = null,
)
