package azuredale.catalog

import azuredale.identity.PoolId

/** What may be repeated of a request. */
public enum class RouteKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once for each request of a caller. */
    NON_IDEMPOTENT,

    /** Answers with a stream of events; runs at most once unless the route's streams are resumable. */
    STREAMING,
}

/** A pool that takes a part of a route's requests in proportion to [weight]. */
public data class WeightedPool(
    val pool: PoolId,
    val weight: Double,
)

/**
 * A rule that sends requests of one host and path prefix to pools of backend servers.
 *
 * Periods are as the operators configured them; a request turns them into deadlines when it arrives.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property pools at least one; several share the requests by weight.
 * @property timeoutMilliseconds longest time that a request may be kept waiting.
 * @property targetMilliseconds time within which an answer, or the first event of a stream, is on time.
 * @property pauseTargetMilliseconds longest pause between events of a stream that is on time; null without streams.
 * @property maximumServers most servers to which one request may be sent.
 * @property rank urgency, 0 is the highest.
 * @property isOpen whether requests need no key.
 * @property isAffine whether requests name the parts of a prompt that a server may have cached.
 * @property isResumable whether a broken stream may go on at another server.
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
    val rank: Int = 0,
    val isOpen: Boolean = false,
    val isAffine: Boolean = false,
    val isResumable: Boolean = false,
) {
    /** Whether a request may run at a second server after it may have run at a first one. */
    val isRepeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || isResumable

    /**
     * The pool for a request, chosen by weight.
     *
     * @param fraction a number from 0 (inclusive) to 1 (exclusive); equal numbers give equal pools.
     */
    public fun poolAt(fraction: Double): PoolId {
        var remaining = fraction * pools.sumOf { it.weight }
        return pools
            .firstOrNull {
                remaining -= it.weight
                remaining < 0
            }?.pool ?: pools.last().pool
    }
}
