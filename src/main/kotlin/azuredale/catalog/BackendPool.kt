package azuredale.catalog

import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.TeamId

/**
 * Declared properties of the model engines of a pool.
 *
 * @property slots requests that one server processes concurrently.
 * @property cacheTokens memory for running requests and cached prompt parts, in tokens.
 * @property tokensPerEvent tokens in one event of a stream.
 */
public data class EngineProfile(
    val slots: Int,
    val cacheTokens: Long,
    val tokensPerEvent: Int = 1,
)

/**
 * A pool of backend servers of one kind: model engines or plain services.
 *
 * @property healthPath path of the health check.
 * @property maximumConnections total connections that one server accepts from all callers.
 * @property engine null for plain services.
 * @property coldRequestsPerSecond requests a second that one server tolerates after its start, null if not declared.
 * @property warmUpMilliseconds the longest time for which a server stays slow after its start.
 */
public data class BackendPool(
    val id: PoolId,
    val healthPath: String,
    val maximumConnections: Int,
    val engine: EngineProfile? = null,
    val coldRequestsPerSecond: Double? = null,
    val warmUpMilliseconds: Long = 0,
)

/**
 * Limits on callers and their requests.
 *
 * @property headerTimeoutMilliseconds maximum time from the first byte of a request to the end of its headers.
 * @property idleTimeoutMilliseconds maximum time that a connection may be idle.
 * @property tokensPerSecond total output of all servers, null if not declared.
 */
public data class CallerLimits(
    val maximumHeaderBytes: Int = 16_384,
    val maximumBodyBytes: Int = 4_194_304,
    val headerTimeoutMilliseconds: Long = 3_000,
    val idleTimeoutMilliseconds: Long = 15_000,
    val tokensPerSecond: Double? = null,
)

/**
 * A team and the API keys that identify its callers.
 *
 * @property priority urgency of the team's requests, null if not declared; it overrides that of the route.
 * @property homes regions whose servers may get the team's requests; empty if all may.
 */
public data class CatalogTeam(
    val id: TeamId,
    val keys: Set<String>,
    val priority: Int? = null,
    val homes: Set<Region> = emptySet(),
)
