package azuredale.outcome

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.logging.EventLog
import azuredale.node.ClaimResult
import azuredale.store.CallFailure
import azuredale.store.CallFailureReason
import azuredale.store.KeyValueService
import azuredale.store.KeyVersion
import azuredale.store.LeaseId
import azuredale.store.LeaseResult
import azuredale.store.WriteResult
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.vertx.core.json.JsonObject
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.security.MessageDigest

/**
 * Claims idempotency keys with create-only writes, so that at most one request per key runs in the fleet.
 *
 * A claim contains the claiming router's incarnation and a nonce. If a reply is lost, the same write is sent again.
 * A conflict returns the stored claim, whose nonce shows whether the first write succeeded. Claims expire with a lease;
 * all claims within [LEASE_USE_SECONDS] share one, so that a claim usually costs a single call.
 *
 * ```
 * val result = claimer.claim(TeamId("outlet-01"), "herd-4711", request.deadline)
 * ```
 *
 * @param newNonce returns a value that is unique in the fleet.
 * @param retentionSeconds minimum time for which a claim is kept. A duplicate that arrives later may run again.
 */
public class KeyClaimer(
    private val service: KeyValueService,
    private val clock: Clock,
    private val router: RouterId,
    private val incarnation: Incarnation,
    private val newNonce: () -> String,
    private val retentionSeconds: Long = RETENTION_SECONDS,
) {
    private class SharedLease(
        val id: LeaseId,
        val usableUntil: Timestamp,
    )

    private val leaseLock = Mutex()
    private var currentLease: SharedLease? = null

    /** Claims [key] of [team]. Makes no further attempt after [deadline]. */
    public suspend fun claim(team: TeamId, key: String, deadline: Timestamp): ClaimResult {
        val nonce = newNonce()
        val value =
            JsonObject()
                .put("router", router.name)
                .put("incarnation", incarnation.value.toString())
                .put("nonce", nonce)
                .encode()
                .encodeToByteArray()
        val result = ClaimOperation(storageKey(team, key), value, deadline).run()
        if (result == ClaimResult.UNKNOWN) log.write(OutcomeLogEvent.CLAIM_UNKNOWN, "team" to team, "nonce" to nonce)
        return result
    }

    private inner class ClaimOperation(
        private val storageKey: String,
        private val value: ByteArray,
        private val deadline: Timestamp,
    ) {
        /** Whether an earlier write of this claim may have taken effect or may still do so. */
        private var isPossiblyWritten = false

        suspend fun run(): ClaimResult {
            repeat(MAXIMUM_ATTEMPTS) { attempt ->
                if (clock() >= deadline) return unresolved(ClaimResult.UNAVAILABLE)
                if (attempt > 0) delay(RETRY_MILLISECONDS shl attempt)
                attempt()?.let { return it }
            }
            return unresolved(ClaimResult.UNAVAILABLE)
        }

        /** Returns the result, or null if another attempt is needed. */
        private suspend fun attempt(): ClaimResult? = when (val lease = acquireLease(callDeadline())) {
            is LeaseResult.Held -> write(lease.lease)
            is LeaseResult.Failed -> resultOf(lease.failure)
            is LeaseResult.Ended -> null
        }

        private suspend fun write(lease: LeaseId): ClaimResult? {
            when (val result = service.write(storageKey, value, KeyVersion.ABSENT, callDeadline(), lease)) {
                is WriteResult.Written -> return ClaimResult.CLAIMED
                is WriteResult.Conflict -> {
                    val current = result.current ?: return null
                    return if (current.bytes.contentEquals(value)) ClaimResult.CLAIMED else ClaimResult.HELD
                }
                is WriteResult.Unknown -> isPossiblyWritten = true
                is WriteResult.NotWritten -> {
                    if (result.failure.reason != CallFailureReason.LEASE_ENDED) return resultOf(result.failure)
                    discardLease(lease)
                }
            }
            return null
        }

        /** Returns null if an earlier write may have taken effect, because only another attempt can find out. */
        private fun resultOf(failure: CallFailure): ClaimResult? = when {
            isPossiblyWritten -> null
            failure.reason == CallFailureReason.BUDGET_EXHAUSTED -> ClaimResult.BUDGET_EXHAUSTED
            else -> ClaimResult.UNAVAILABLE
        }

        private fun unresolved(otherwise: ClaimResult) = if (isPossiblyWritten) ClaimResult.UNKNOWN else otherwise

        private fun callDeadline(): Timestamp = minOf(deadline, clock().plusMilliseconds(CALL_MILLISECONDS))
    }

    private suspend fun acquireLease(deadline: Timestamp): LeaseResult = leaseLock.withLock {
        val present = currentLease?.takeIf { clock() < it.usableUntil }
        if (present != null) return LeaseResult.Held(present.id, present.usableUntil)
        val start = clock()
        val granted = service.grantLease(retentionSeconds + LEASE_USE_SECONDS, deadline)
        if (granted is LeaseResult.Held) currentLease = SharedLease(granted.lease, start.plusSeconds(LEASE_USE_SECONDS))
        granted
    }

    private suspend fun discardLease(lease: LeaseId) = leaseLock.withLock {
        if (currentLease?.id == lease) currentLease = null
    }

    public companion object {
        /** Default retention: one day, which is far longer than the deadline of any request and its retries. */
        public const val RETENTION_SECONDS: Long = 86_400

        /** Time for which a lease is used for new claims. */
        public const val LEASE_USE_SECONDS: Long = 600
        private const val MAXIMUM_ATTEMPTS = 4
        private const val RETRY_MILLISECONDS = 20L
        private const val CALL_MILLISECONDS = 1_000L
        private val log = EventLog("azuredale.platform")

        /** Returns the storage key of a claim. Hashes [key], because callers choose its length and content. */
        internal fun storageKey(team: TeamId, key: String): String {
            val digest = MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())
            return "/azuredale/claims/$team/" + digest.joinToString("") { "%02x".format(it) }
        }
    }
}
