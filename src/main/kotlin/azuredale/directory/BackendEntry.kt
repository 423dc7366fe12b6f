package azuredale.directory

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId

/** Whether a backend server takes new work. */
public enum class BackendState { READY, DRAINING }

/**
 * A backend server as it registered itself.
 *
 * @property id names one registration; the same id may start again with another [startedAtMilliseconds].
 * @property startedAtMilliseconds start of the server process in Unix milliseconds, null when it does not say.
 * @property slots requests that it works on at the same time.
 */
public data class BackendEntry(
    val id: ServerId,
    val pool: PoolId,
    val address: NetworkAddress,
    val failureDomain: FailureDomain,
    val slots: Int,
    val state: BackendState,
    val startedAtMilliseconds: Long? = null,
) {
    /** A short number for messages between routers; equal ids have equal numbers on every router. */
    val number: Int get() = id.name.hashCode()
}
