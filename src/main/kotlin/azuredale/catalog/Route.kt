package azuredale.catalog

import azuredale.identity.PoolId
import azuredale.identity.Region

/** How often a request may be executed. */
public enum class RouteKind {
    /** May be executed more than once. */
    IDEMPOTENT,

    /** Is executed at most once per caller request. */
    NON_IDEMPOTENT,

    /** Responds with an event stream; executed at most once unless the route's streams are resumable. */
    STREAMING,
}

/** A pool that receives a fraction of a route's requests in proportion to [weight]. */
public data class WeightedPool(
    val pool: PoolId,
    val weight: Double,
)

/**
 * Maps a host and path prefix to pools of backend servers.
 *
 * Time-outs and targets are relative; they become deadlines when a request arrives.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property pools one or more pools; requests are distributed by weight.
 * @property timeoutMilliseconds maximum duration of a request.
 * @property targetMilliseconds latency target for the response, or for the first event of a stream.
 * @property pauseTargetMilliseconds target for the longest pause between stream events; null for other routes.
 * @property maximumServers maximum number of servers to which one request is sent.
 * @property priority urgency of requests; 0 is the highest.
 * @property allowsAnonymous whether requests without an API key are allowed.
 * @property hasPromptAffinity whether requests identify prompt parts that a server may have cached.
 * @property isResumable whether an interrupted stream may continue at another server.
 * @property homes regions whose servers may get requests; empty if all may.
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val pools: List<WeightedPool>,
    val timeoutMilliseconds: Long,
    val targetMilliseconds: Long,
    val pauseTargetMilliseconds: Long? = null,
    val maximumServers: Int = 1,
    val priority: Int = 0,
    val allowsAnonymous: Boolean = false,
    val hasPromptAffinity: Boolean = false,
    val isResumable: Boolean = false,
    val homes: Set<Region> = emptySet(),
) {
    /** Whether a request may be sent to another server after it may already have been executed. */
    val isRepeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || isResumable

    /**
     * Selects a pool by weight.
     *
     * @param fraction a number from 0 (inclusive) to 1 (exclusive); equal fractions select equal pools.
     */
    public fun selectPool(fraction: Double): PoolId {
        var remaining = fraction * pools.sumOf { it.weight }
        return pools
            .firstOrNull {
                remaining -= it.weight
                remaining < 0
            }?.pool ?: pools.last().pool
    }
}
