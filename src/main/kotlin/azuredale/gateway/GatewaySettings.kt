package azuredale.gateway

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.RouterId

/**
 * Bounds that the operators of a deployment set for the whole fleet; periods in milliseconds.
 *
 * @property gracePeriod time from the request to stop until the process is ended.
 * @property revocationBound a key is refused this long after it was taken away, by every router.
 * @property retryRatio requests sent once more, as a share of all requests of a pool.
 * @property retryHeadroom requests sent once more beside that share.
 * @property retryWindow window in which the two are counted.
 * @property addressLifetimeSeconds longest time for which an address answer counts.
 */
public data class FleetBounds(
    val gracePeriod: Long = 8_000,
    val revocationBound: Long = 5_000,
    val retryRatio: Double = 0.2,
    val retryHeadroom: Double = 50.0,
    val retryWindow: Long = 10_000,
    val addressLifetimeSeconds: Double = 5.0,
)

/**
 * Settings of one router on the platform.
 *
 * @property callerAddress HTTP for callers.
 * @property readinessAddress HTTP for the platform's readiness check and for metrics.
 * @property directoryAddress HTTP for callers that ask which routers to use.
 * @property peerAddress UDP for messages between routers.
 * @property weight relative size of the VM.
 */
public data class GatewaySettings(
    val router: RouterId,
    val region: Region,
    val failureDomain: FailureDomain,
    val callerAddress: NetworkAddress,
    val readinessAddress: NetworkAddress,
    val directoryAddress: NetworkAddress,
    val peerAddress: NetworkAddress,
    val storeAddress: NetworkAddress,
    val weight: Double,
    val bounds: FleetBounds,
)
