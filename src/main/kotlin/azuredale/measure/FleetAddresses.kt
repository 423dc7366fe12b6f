package azuredale.measure

import azuredale.configuration.Document
import azuredale.configuration.Requirement
import azuredale.configuration.RouterSettings
import azuredale.configuration.Secret
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.RouterId
import azuredale.identity.ServerId

/** Names, addresses and settings of the simulated fleet. */
internal object FleetAddresses {
    private const val SEEDS = 3
    private const val HOSTS_PER_BLOCK = 200
    private const val CALLER_PORT = 8080
    private const val OPERATOR_PORT = 8081
    private const val PEER_PORT = 7000
    private const val PROBE_PORT = 7001
    private const val PLATFORM_PORT = 2379
    private const val SERVER_PORT = 8000

    fun routerName(index: Int): RouterId = RouterId("router-${index + 1}")

    fun settings(profile: Profile, index: Int): RouterSettings = RouterSettings(
        router = routerName(index),
        region = Region("south"),
        failureDomain = profile.domainOf(index),
        callerAddress = address(index, CALLER_PORT),
        operatorAddress = address(index, OPERATOR_PORT),
        peerAddress = address(index, PEER_PORT),
        probeAddress = address(index, PROBE_PORT),
        keyValueServiceAddress = NetworkAddress("10.250.0.1", PLATFORM_PORT),
        fleetKey = Secret("measure-fleet-key-of-32-bytes-000"),
        operatorToken = Secret("measure-operator-token"),
        seeds = List(SEEDS) { address(it, PROBE_PORT) },
    )

    /** Returns whether [document] allows new work on [server]. */
    fun isActive(document: Document, server: ServerId): Boolean =
        document.servers[server]?.let { document.allows(server, Requirement(it.pool)) } ?: false

    fun serverAddress(pool: Int, index: Int): NetworkAddress =
        NetworkAddress("10.${pool + 1}.${index / HOSTS_PER_BLOCK}.${index % HOSTS_PER_BLOCK + 1}", SERVER_PORT)

    private fun address(index: Int, port: Int) =
        NetworkAddress("10.100.${index / HOSTS_PER_BLOCK}.${index % HOSTS_PER_BLOCK + 1}", port)
}
