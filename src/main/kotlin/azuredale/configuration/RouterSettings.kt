package azuredale.configuration

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.RouterId

/** A value that must not appear in logs or messages. */
public class Secret(private val text: String) {
    /** The secret as UTF-8 bytes, for message authentication and comparison. */
    public fun bytes(): ByteArray = text.encodeToByteArray()

    override fun toString(): String = "(secret)"
}

/**
 * Settings of a router process, read from an INI file at startup before any socket is opened.
 *
 * @property weight relative capacity of the VM.
 * @property callerAddress HTTP address for callers.
 * @property operatorAddress HTTP address for operators, metrics and health checks.
 * @property peerAddress TCP address for messages between routers.
 * @property probeAddress UDP address of the failure detector.
 * @property keyValueServiceAddress address of the key-value service.
 * @property virtualMachineListAddress address of the platform's VM list.
 * @property seeds probe addresses of other routers, used to join the fleet.
 */
public data class RouterSettings(
    val router: RouterId,
    val region: Region,
    val failureDomain: FailureDomain,
    val callerAddress: NetworkAddress,
    val operatorAddress: NetworkAddress,
    val peerAddress: NetworkAddress,
    val probeAddress: NetworkAddress,
    val keyValueServiceAddress: NetworkAddress,
    val fleetKey: Secret,
    val operatorToken: Secret,
    val virtualMachineListAddress: NetworkAddress? = null,
    val seeds: List<NetworkAddress> = emptyList(),
    val weight: Double = 1.0,
    val workers: Int = 4,
    val requestLimitBytes: Int = 4_194_304,
    val requestDeadlineSeconds: Long = 300,
    val ticketDeadlineSeconds: Long = 60,
    val addressDeadlineSeconds: Long = 30,
)
