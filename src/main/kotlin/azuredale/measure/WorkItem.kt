package azuredale.measure

import azuredale.identity.PoolId
import azuredale.identity.TeamId

/**
 * One request of the load, identical for the system and the baselines.
 *
 * @property arrival when the caller sends it, microseconds since the start of the run.
 * @property router index of the router that the caller uses first.
 * @property units length of the answer: tokens of a model pool, 1 for a plain service.
 * @property duration microseconds at a plain service of speed 1; unused for a model pool.
 * @property key idempotency key of a request that must not run twice, or null.
 */
internal data class WorkItem(
    val index: Int,
    val arrival: Long,
    val team: TeamId,
    val pool: PoolId,
    val router: Int,
    val units: Int,
    val duration: Long = 0,
    val hint: Double? = null,
    val prefix: Long? = null,
    val key: String? = null,
)
