package azuredale.directory

import azuredale.identity.NetworkAddress
import azuredale.identity.ServerId

/** One process of a backend server. A server may start again under its id, also at another address. */
internal data class ServerProcess(
    val id: ServerId,
    val address: NetworkAddress,
    val startedAtMilliseconds: Long?,
)

/** The process that this entry registers. */
internal val BackendEntry.process: ServerProcess get() = ServerProcess(id, address, startedAtMilliseconds)
