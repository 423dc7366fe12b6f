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
 * Claims idempotency keys by a create-only write, so that at most one request of the fleet runs for a key.
 *
 * The claim holds the claimer's incarnation and a nonce. After a lost reply the same write is sent again: its conflict
 * returns the stored claim, whose nonce tells whether the first write took effect. Claims end with a lease that is
 * shared by the claims of [LEASE_USE_SECONDS], so a claim costs one call.
 *
 * ```
 * val result = claimer.claim(TeamId("outlet-01"), "herd-4711", request.deadline)
 * ```
 *
 * @param newNonce returns a value that is used once in the fleet.
 * @param retentionSeconds least time for which a claim is kept; a repeat after it runs again.
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
    private var shared: SharedLease? = null

    /** Claims [key] of [team]; ends at [deadline] at the latest. */
    public suspend fun claim(team: TeamId, key: String, deadline: Timestamp): ClaimResult {
        val nonce = newNonce()
        val value =
            JsonObject()
                .put("router", router.name)
                .put("incarnation", incarnation.value.toString())
                .put("nonce", nonce)
                .encode()
                .encodeToByteArray()
        val result = Attempts(path(team, key), value, deadline).run()
        if (result == ClaimResult.UNKNOWN) log.write(OutcomeLogEvent.CLAIM_UNKNOWN, "team" to team, "nonce" to nonce)
        return result
    }

    private inner class Attempts(
        private val path: String,
        private val value: ByteArray,
        private val deadline: Timestamp,
    ) {
        /** Whether an earlier write of this claim may be stored or may still arrive. */
        private var isPossiblyWritten = false

        suspend fun run(): ClaimResult {
            repeat(MAXIMUM_ATTEMPTS) { attempt ->
                if (clock() >= deadline) return unresolved(ClaimResult.UNAVAILABLE)
                if (attempt > 0) delay(RETRY_MILLISECONDS shl attempt)
                attempt()?.let { return it }
            }
            return unresolved(ClaimResult.UNAVAILABLE)
        }

        /** Returns the result, or null when another attempt is needed. */
        private suspend fun attempt(): ClaimResult? = when (val lease = leaseFor(callDeadline())) {
            is LeaseResult.Held -> write(lease.lease)
            is LeaseResult.Failed -> resultOf(lease.failure)
            is LeaseResult.Ended -> null
        }

        private suspend fun write(lease: LeaseId): ClaimResult? {
            when (val result = service.write(path, value, KeyVersion.ABSENT, callDeadline(), lease)) {
                is WriteResult.Written -> return ClaimResult.CLAIMED
                is WriteResult.Conflict -> {
                    val current = result.current ?: return null
                    return if (current.bytes.contentEquals(value)) ClaimResult.CLAIMED else ClaimResult.HELD
                }
                is WriteResult.Unknown -> isPossiblyWritten = true
                is WriteResult.NotWritten -> {
                    if (result.failure.reason != CallFailureReason.LEASE_ENDED) return resultOf(result.failure)
                    forget(lease)
                }
            }
            return null
        }

        /** After an unknown write, a failure without effect leaves the result open; the next attempt may settle it. */
        private fun resultOf(failure: CallFailure): ClaimResult? = when {
            isPossiblyWritten -> null
            failure.reason == CallFailureReason.BUDGET_EXHAUSTED -> ClaimResult.BUDGET_EXHAUSTED
            else -> ClaimResult.UNAVAILABLE
        }

        private fun unresolved(otherwise: ClaimResult) = if (isPossiblyWritten) ClaimResult.UNKNOWN else otherwise

        private fun callDeadline(): Timestamp = minOf(deadline, clock().plusMilliseconds(CALL_MILLISECONDS))
    }

    private suspend fun leaseFor(deadline: Timestamp): LeaseResult = leaseLock.withLock {
        val present = shared?.takeIf { clock() < it.usableUntil }
        if (present != null) return LeaseResult.Held(present.id, present.usableUntil)
        val start = clock()
        val granted = service.grantLease(retentionSeconds + LEASE_USE_SECONDS, deadline)
        if (granted is LeaseResult.Held) shared = SharedLease(granted.lease, start.plusSeconds(LEASE_USE_SECONDS))
        granted
    }

    private suspend fun forget(lease: LeaseId) = leaseLock.withLock {
        if (shared?.id == lease) shared = null
    }

    public companion object {
        /** Far longer than the deadline of any request and its retries. */
        public const val RETENTION_SECONDS: Long = 86_400

        /** Time for which one lease serves new claims. */
        public const val LEASE_USE_SECONDS: Long = 600
        private const val MAXIMUM_ATTEMPTS = 4
        private const val RETRY_MILLISECONDS = 20L
        private const val CALL_MILLISECONDS = 1_000L
        private val log = EventLog("azuredale.platform")

        /** The key under which a claim is stored; hashed, so that a caller's key of any length and content is safe. */
        internal fun path(team: TeamId, key: String): String {
            val digest = MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())
            return "/azuredale/claims/$team/" + digest.joinToString("") { "%02x".format(it) }
        }
    }
}
