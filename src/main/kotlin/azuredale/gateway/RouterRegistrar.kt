package azuredale.gateway

import azuredale.logging.EventLog
import azuredale.sharing.StableHash
import azuredale.store.LeaseId
import azuredale.store.LeaseResult
import azuredale.store.WriteResult
import azuredale.time.Clock
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/** Registers this router in the store and discovers the other routers. */
internal class RouterRegistrar(
    private val own: RegisteredRouter,
    private val registry: Registry,
    private val clock: Clock,
    private val log: EventLog,
    private val onFound: (RegisteredRouter) -> Unit,
    private val onListed: () -> Unit,
) {
    private val losses = Channel<Unit>(Channel.CONFLATED)
    private val spreadMilliseconds = Math.floorMod(StableHash.of(own.router.name), SPREAD_MILLISECONDS)

    /** Lets this router register again soon, since the store may have lost its registration. */
    fun registerAgain() {
        losses.trySend(Unit)
    }

    /** Keeps this router registered until cancelled. */
    suspend fun run() {
        while (true) {
            val lease = register()
            if (lease == null) {
                delay(RETRY_DELAY_MILLISECONDS)
                continue
            }
            discoverRouters()
            renewUntilEnded(lease)
        }
    }

    private suspend fun register(): LeaseId? {
        val granted = registry.lease(LEASE_SECONDS, clock().plusMilliseconds(CALL_TIMEOUT_MILLISECONDS))
        if (granted !is LeaseResult.Held) return logFailure(granted)
        val written = registry.register(own, granted.lease, clock().plusMilliseconds(CALL_TIMEOUT_MILLISECONDS))
        return if (written is WriteResult.Written) granted.lease else logFailure(written)
    }

    private fun logFailure(result: Any): LeaseId? {
        log.write(GatewayLogEvent.REGISTRATION_FAILED, "result" to result)
        return null
    }

    private suspend fun discoverRouters() {
        val routers = registry.routers(clock().plusMilliseconds(CALL_TIMEOUT_MILLISECONDS))
        if (routers == null) logFailure("router registrations could not be read") else routers.forEach(onFound)
        onListed()
    }

    private suspend fun renewUntilEnded(lease: LeaseId) {
        while (true) {
            val isLost = withTimeoutOrNull(RENEWAL_INTERVAL_MILLISECONDS) { losses.receive() } != null
            if (isLost) return delay(spreadMilliseconds)
            if (registry.renew(lease, clock().plusMilliseconds(CALL_TIMEOUT_MILLISECONDS)) is LeaseResult.Ended) return
        }
    }

    private companion object {
        /** May be long: only new routers read the registrations, and they skip routers that send no reports. */
        const val LEASE_SECONDS = 30L
        const val RENEWAL_INTERVAL_MILLISECONDS = 9_000L
        const val CALL_TIMEOUT_MILLISECONDS = 900L
        const val RETRY_DELAY_MILLISECONDS = 500L

        /** Spreads registrations like renewals, since the limit of the store is for all routers together. */
        const val SPREAD_MILLISECONDS = RENEWAL_INTERVAL_MILLISECONDS
    }
}
