package azuredale.configuration

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.RouterId

/** A value that must not appear in logs or messages. */
public class Secret(private val text: String) {
    /** The secret as bytes, for message authentication and comparison. */
    public fun bytes(): ByteArray = text.encodeToByteArray()

    override fun toString(): String = "(secret)"
}

/**
 * Settings of one router process, read from an INI file before any socket opens.
 *
 * @property weight relative size of the VM.
 * @property callerAddress HTTP for callers.
 * @property operatorAddress HTTP for operators, metrics and health.
 * @property peerAddress TCP for messages between routers.
 * @property probeAddress UDP for the failure detector.
 * @property platform address of the key-value service.
 * @property virtualMachineList address of the platform's VM list.
 * @property seeds probe addresses of other routers to join through.
 */
public data class RouterSettings(
    val router: RouterId,
    val region: Region,
    val failureDomain: FailureDomain,
    val callerAddress: NetworkAddress,
    val operatorAddress: NetworkAddress,
    val peerAddress: NetworkAddress,
    val probeAddress: NetworkAddress,
    val platform: NetworkAddress,
    val fleetKey: Secret,
    val operatorToken: Secret,
    val virtualMachineList: NetworkAddress? = null,
    val seeds: List<NetworkAddress> = emptyList(),
    val weight: Double = 1.0,
    val workers: Int = 4,
    val requestLimitBytes: Int = 4_194_304,
    val requestDeadlineSeconds: Long = 300,
    val ticketDeadlineSeconds: Long = 60,
    val addressDeadlineSeconds: Long = 30,
)
