package azuredale.gateway

import azuredale.logging.EventLog
import azuredale.store.LeaseId
import azuredale.store.LeaseResult
import azuredale.store.WriteResult
import azuredale.time.Clock
import kotlinx.coroutines.delay

/** Registers this router in the store and discovers the other routers. */
internal class RouterPresence(
    private val own: Registered,
    private val registry: Registry,
    private val clock: Clock,
    private val log: EventLog,
    private val found: (Registered) -> Unit,
) {
    /** Keeps this router registered until cancelled. */
    suspend fun run() {
        while (true) {
            val lease = register()
            if (lease == null) {
                delay(RETRY_MILLISECONDS)
                continue
            }
            findOthers()
            keep(lease)
        }
    }

    private suspend fun register(): LeaseId? {
        val granted = registry.lease(LEASE_SECONDS, clock().plusMilliseconds(CALL_MILLISECONDS))
        if (granted !is LeaseResult.Held) return failed(granted)
        val written = registry.register(own, granted.lease, clock().plusMilliseconds(CALL_MILLISECONDS))
        return if (written is WriteResult.Written) granted.lease else failed(written)
    }

    private fun failed(result: Any): LeaseId? {
        log.write(GatewayLogEvent.REGISTRATION_FAILED, "result" to result)
        return null
    }

    private suspend fun findOthers() {
        val routers = registry.routers(clock().plusMilliseconds(CALL_MILLISECONDS))
        if (routers == null) failed("router registrations could not be read") else routers.forEach(found)
    }

    private suspend fun keep(lease: LeaseId) {
        while (true) {
            delay(KEEP_MILLISECONDS)
            if (registry.keep(lease, clock().plusMilliseconds(CALL_MILLISECONDS)) is LeaseResult.Ended) return
        }
    }

    private companion object {
        /** May be long: only new routers read the registrations, and they skip routers that send no reports. */
        const val LEASE_SECONDS = 30L
        const val KEEP_MILLISECONDS = 9_000L
        const val CALL_MILLISECONDS = 900L
        const val RETRY_MILLISECONDS = 500L
    }
}
