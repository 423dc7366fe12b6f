package azuredale.gateway

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.RouterId

/**
 * Limits that the operators set for the whole fleet; durations are in milliseconds.
 *
 * @property gracePeriodMilliseconds time between the stop signal and the forced end of the process.
 * @property revocationBoundMilliseconds maximum time after its revocation for which any router may still accept a key.
 * @property drainBoundMilliseconds maximum time for which a server may get new requests after the store confirmed that
 *   it leaves.
 * @property contactMilliseconds time after the end of a disruption from which on a router counts as connected again.
 * @property evacuationBoundMilliseconds maximum time for which a server of an evacuated failure domain may get new
 *   requests after the store confirmed the evacuation; null if operators evacuate no failure domains.
 * @property configurationBoundMilliseconds maximum time for which a router may handle requests as an older
 *   configuration says after the store confirmed a newer one; null if there is no such bound.
 * @property coldFactor requests that a server may get in one second after its start, as a multiple of what its pool
 *   declares; null if they are not bounded.
 * @property coldAllowance requests in one second in addition to that.
 * @property retryRatio allowed retries as a fraction of the requests of a pool.
 * @property retryHeadroom retries allowed in addition to that fraction.
 * @property retryWindowMilliseconds sliding window over which requests and retries are counted.
 * @property addressLifetimeSeconds maximum lifetime of an address response.
 */
public data class FleetBounds(
    val gracePeriodMilliseconds: Long = 8_000,
    val revocationBoundMilliseconds: Long = 5_000,
    val drainBoundMilliseconds: Long = 2_000,
    val contactMilliseconds: Long = 3_000,
    val evacuationBoundMilliseconds: Long? = null,
    val configurationBoundMilliseconds: Long? = null,
    val coldFactor: Double? = null,
    val coldAllowance: Double = 0.0,
    val retryRatio: Double = 0.2,
    val retryHeadroom: Double = 50.0,
    val retryWindowMilliseconds: Long = 10_000,
    val addressLifetimeSeconds: Double = 5.0,
)

/**
 * Settings of one router on the platform.
 *
 * @property regions regions of the failure domains.
 * @property callerAddress HTTP address for caller requests.
 * @property readinessAddress HTTP address for the platform's readiness check and for metrics.
 * @property directoryAddress HTTP address for callers that ask which routers to use.
 * @property peerAddress UDP address for messages between routers.
 * @property weight relative size of the VM.
 * @property memoryBytes memory that the process may use; null if the platform names no limit.
 * @property maximumDescriptors file descriptors that the process may have open.
 * @property isFirstStart whether the whole system starts for the first time.
 * @property weighsPrefixes whether kept prompt prefixes are weighed against wait, memory and demand for each request.
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
    val memoryBytes: Long? = null,
    val maximumDescriptors: Int = DEFAULT_DESCRIPTORS,
    val regions: Map<FailureDomain, Region> = emptyMap(),
    val bounds: FleetBounds,
    val weighsPrefixes: Boolean = true,
    val isFirstStart: Boolean = false,
) {
    /**
     * Connections that callers may have open. Each request in progress needs a connection to a server as well, and the
     * store, other routers and files need some descriptors, so callers get about half.
     */
    val maximumCallerConnections: Int
        get() = ((maximumDescriptors - FILE_DESCRIPTORS) * CALLER_FRACTION).toInt().coerceAtLeast(1)

    public companion object {
        /** Usual limit of a process that says nothing else. */
        public const val DEFAULT_DESCRIPTORS: Int = 4_096

        /** Descriptors for files, among them the program itself. */
        private const val FILE_DESCRIPTORS = 200
        private const val CALLER_FRACTION = 0.6
    }
}
