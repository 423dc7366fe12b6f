package azuredale.catalog

import azuredale.identity.PoolId
import azuredale.identity.TeamId

/**
 * What the operators declare of the model engines of a pool.
 *
 * @property slots requests that one server generates for at the same time.
 * @property cacheTokens tokens of memory for running requests and cached prompt parts.
 * @property tokensInEvent tokens that one event of a stream holds.
 */
public data class EngineProfile(
    val slots: Int,
    val cacheTokens: Long,
    val tokensInEvent: Int = 1,
)

/**
 * A pool of backend servers of one kind.
 *
 * @property healthPath path of the health check.
 * @property maximumConnections connections that one server accepts from all callers together.
 * @property engine null for plain services.
 */
public data class BackendPool(
    val id: PoolId,
    val healthPath: String,
    val maximumConnections: Int,
    val engine: EngineProfile? = null,
)

/**
 * Bounds on what a caller may send.
 *
 * @property headerTimeoutMilliseconds longest time from a request's first byte to the end of its headers.
 * @property idleTimeoutMilliseconds longest time that a connection may stay without a request.
 * @property tokensPerSecond tokens that all servers produce together, null when not declared.
 */
public data class CallerLimits(
    val maximumHeaderBytes: Int = 16_384,
    val maximumBodyBytes: Int = 4_194_304,
    val headerTimeoutMilliseconds: Long = 3_000,
    val idleTimeoutMilliseconds: Long = 15_000,
    val tokensPerSecond: Double? = null,
)

/**
 * A team and the keys by which its callers are known.
 *
 * @property rank urgency of the team's requests where it is declared; it goes before the route's.
 */
public data class CatalogTeam(
    val id: TeamId,
    val keys: Set<String>,
    val rank: Int? = null,
)
