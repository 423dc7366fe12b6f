package azuredale.directory

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.identity.SoftwareVersion

/** Whether a backend server accepts new requests. */
public enum class BackendState { READY, DRAINING }

/**
 * Registration of a backend server.
 *
 * @property id identifies the registration; a restarted server may reuse it with another [startedAtMilliseconds].
 * @property startedAtMilliseconds start time of the server process in Unix milliseconds, null if not reported.
 * @property slots requests that the server processes concurrently.
 * @property softwareVersion version of the server's software, empty if unknown.
 * @property isCold whether the server says that it is still slow after its start; false where this is not observed.
 */
public data class BackendEntry(
    val id: ServerId,
    val pool: PoolId,
    val address: NetworkAddress,
    val failureDomain: FailureDomain,
    val slots: Int,
    val state: BackendState,
    val startedAtMilliseconds: Long? = null,
    val isCold: Boolean = false,
    val softwareVersion: SoftwareVersion = SoftwareVersion(""),
) {
    /** Identifies the server in messages between routers: a hash of [id], the same on every router. */
    val idHash: Int get() = id.name.hashCode()
}
