package azuredale.sharing

import azuredale.configuration.Requirement
import azuredale.identity.FailureDomain
import azuredale.identity.RequestNumber
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/** One attempt that waits for a slot; the number is new for every attempt. */
public data class QueuedRequest(
    val number: RequestNumber,
    val team: TeamId,
    val requirement: Requirement,
    val deadline: Timestamp,
    val hint: Double? = null,
    val prefix: Long? = null,
)

/**
 * Load of a backend server as it last reported it.
 *
 * @property running requests in progress.
 * @property waiting requests admitted but not started.
 * @property unitsPerSecond measured speed in the pool's cost unit.
 */
public data class LoadReport(
    val server: ServerId,
    val failureDomain: FailureDomain,
    val running: Int,
    val waiting: Int,
    val unitsPerSecond: Double,
    val observedAt: Timestamp,
)

/** A prompt prefix that a server holds in its cache or has evicted. */
public data class CacheEvent(
    val server: ServerId,
    val prefix: Long,
    val isEvicted: Boolean,
)
