package azuredale.sharing

import azuredale.configuration.Requirement
import azuredale.identity.FailureDomain
import azuredale.identity.RequestNumber
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/** An attempt that waits for a slot; [number] is unique per attempt. */
public data class QueuedRequest(
    val number: RequestNumber,
    val team: TeamId,
    val requirement: Requirement,
    val deadline: Timestamp,
    val hint: Double? = null,
    val prefix: Long? = null,
)

/**
 * Load as last reported by a backend server.
 *
 * @property running requests in progress.
 * @property waiting requests admitted but not started.
 * @property unitsPerSecond measured throughput in the pool's cost unit.
 */
public data class LoadReport(
    val server: ServerId,
    val failureDomain: FailureDomain,
    val running: Int,
    val waiting: Int,
    val unitsPerSecond: Double,
    val observedAt: Timestamp,
)

/** Notice that a server has cached or evicted a prompt prefix. */
public data class CacheEvent(
    val server: ServerId,
    val prefix: Long,
    val isEvicted: Boolean,
)
