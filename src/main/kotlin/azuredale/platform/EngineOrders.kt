package azuredale.platform

import azuredale.configuration.BackendServer
import azuredale.identity.ServerId
import azuredale.logging.EventLog
import azuredale.store.CallFailure
import azuredale.store.CallFailureReason
import azuredale.store.KeyValueService
import azuredale.store.KeyVersion
import azuredale.store.LeaseId
import azuredale.store.LeaseResult
import azuredale.store.WriteResult
import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.delay

/** Result of an order to an engine. */
public sealed interface OrderResult {
    /** The engine reports the ordered state. */
    public data class Verified(val state: EngineState) : OrderResult

    /** Another router holds the right to order this engine; nothing was sent. */
    public data object HeldElsewhere : OrderResult

    /** The engine has seen a newer fencing token; this order had no effect. */
    public data object Superseded : OrderResult

    /** The engine refused the order. */
    public data object Refused : OrderResult

    /** The order may have taken effect, but the engine did not report it in time; [state] is its last report. */
    public data class Unverified(val state: EngineState?) : OrderResult

    /** The key-value service gave no lease; nothing was sent. */
    public data class Unavailable(val failure: CallFailure) : OrderResult
}

/**
 * Orders engines to load model versions and adapters or to change their role.
 *
 * An order needs a lease on the engine's key. Its fencing token is the key's version, which is higher for every later
 * holder. For engines that ignore the token, the order states the end state, is sent only while the lease has
 * [SENDING_MARGIN_SECONDS] left, and counts only once the engine reports that state while the lease is held.
 *
 * ```
 * val result = EngineOrders(service, engines, clock) { nonce() }.order(server, DesiredState(role = EngineRole.DECODE))
 * ```
 */
public class EngineOrders(
    private val service: KeyValueService,
    private val engines: EngineClient,
    private val clock: Clock,
    private val newNonce: () -> String,
) {
    private class Holding(
        val lease: LeaseId,
        val token: Long,
        val deadline: Timestamp,
    )

    /** Orders [server] to reach [desired] and waits until it reports that state or the lease is about to end. */
    public suspend fun order(server: BackendServer, desired: DesiredState): OrderResult {
        val lease =
            when (val granted = service.grantLease(LEASE_SECONDS, callDeadline())) {
                is LeaseResult.Held -> granted
                is LeaseResult.Failed -> return OrderResult.Unavailable(granted.failure)
                is LeaseResult.Ended -> return ended()
            }
        try {
            return when (val written = hold(server.id, lease)) {
                is WriteResult.Written ->
                    Ordering(server, desired, Holding(lease.lease, written.version.value, lease.deadline)).run()
                is WriteResult.Conflict -> OrderResult.HeldElsewhere
                is WriteResult.NotWritten -> OrderResult.Unavailable(written.failure)
                is WriteResult.Unknown -> OrderResult.Unavailable(written.failure)
            }
        } finally {
            service.revoke(lease.lease, callDeadline())
        }
    }

    /** Creates the engine's key; a second write after a lost reply finds its own value. */
    private suspend fun hold(server: ServerId, lease: LeaseResult.Held): WriteResult {
        val value = newNonce().encodeToByteArray()
        var result: WriteResult = WriteResult.Unknown(CallFailure(CallFailureReason.ANSWER_LOST, "nothing was sent"))
        repeat(HOLD_ATTEMPTS) {
            result = service.write("$ORDERS/$server", value, KeyVersion.ABSENT, callDeadline(), lease.lease)
            val current = (result as? WriteResult.Conflict)?.current
            if (current != null && current.bytes.contentEquals(value)) return WriteResult.Written(current.version)
            if (result !is WriteResult.Unknown) return result
        }
        return result
    }

    private inner class Ordering(
        private val server: BackendServer,
        private val desired: DesiredState,
        private val holding: Holding,
    ) {
        private val sendUntil = holding.deadline.plusSeconds(-SENDING_MARGIN_SECONDS)
        private val verifyUntil = holding.deadline.plusSeconds(-VERIFYING_MARGIN_SECONDS)

        suspend fun run(): OrderResult {
            var reported: EngineState? = null
            var resendAt = Timestamp.DISTANT_PAST
            while (clock() < verifyUntil) {
                if (clock() >= resendAt && clock() < sendUntil) {
                    val answer = engines.order(server.address, desired, holding.token, sendingDeadline())
                    refusal(answer)?.let { return it }
                    resendAt = clock().plusMilliseconds(RESEND_MILLISECONDS)
                }
                reported = engines.state(server.address, minOf(verifyUntil, callDeadline()))
                if (reported != null && reported.satisfies(desired)) return verified(reported)
                delay(REPORT_MILLISECONDS)
            }
            log.write(PlatformLogEvent.ORDER_UNVERIFIED, "server" to server.id, "token" to holding.token)
            return OrderResult.Unverified(reported)
        }

        /** The report counts only while this node surely holds the lease. */
        private fun verified(state: EngineState): OrderResult =
            if (clock() < holding.deadline) OrderResult.Verified(state) else OrderResult.Unverified(state)

        private fun refusal(answer: OrderAnswer): OrderResult? {
            val result =
                when (answer) {
                    OrderAnswer.STALE_TOKEN -> OrderResult.Superseded
                    OrderAnswer.REFUSED -> OrderResult.Refused
                    OrderAnswer.ACCEPTED, OrderAnswer.UNKNOWN -> null
                }
            if (result != null) log.write(PlatformLogEvent.ORDER_REFUSED, "server" to server.id, "answer" to answer)
            return result
        }

        private fun sendingDeadline() = minOf(sendUntil, callDeadline())
    }

    private fun ended() = OrderResult.Unavailable(CallFailure(CallFailureReason.LEASE_ENDED, "the lease has no length"))

    private fun callDeadline(): Timestamp = clock().plusMilliseconds(CALL_MILLISECONDS)

    public companion object {
        /** Length of the lease on an engine's key. */
        public const val LEASE_SECONDS: Long = 20

        /** No order is sent when less of the lease is left, so that one delayed on its way arrives before its end. */
        public const val SENDING_MARGIN_SECONDS: Long = 8
        private const val VERIFYING_MARGIN_SECONDS = 1L
        private const val HOLD_ATTEMPTS = 3
        private const val CALL_MILLISECONDS = 1_000L
        private const val RESEND_MILLISECONDS = 1_000L
        private const val REPORT_MILLISECONDS = 100L
        private const val ORDERS = "/azuredale/orders"
        private val log = EventLog("azuredale.platform")
    }
}
