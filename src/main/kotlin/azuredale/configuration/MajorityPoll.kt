package azuredale.configuration

import azuredale.identity.RouterId
import azuredale.time.Timestamp

/**
 * Poll of the fleet: in each round, this node asks all members for their revision and counts the replies.
 *
 * @property startedAt start of the current round.
 * @property answered members that replied in this round.
 * @property isComplete whether this round has reached a majority.
 * @property majorityAt start of the last round that reached a majority. This node was connected with it at that time.
 * @property requestedUntil time until which this node polls because a caller asked for a majority.
 */
internal data class MajorityPoll(
    val startedAt: Timestamp = Timestamp.DISTANT_PAST,
    val answered: Set<RouterId> = emptySet(),
    val isComplete: Boolean = false,
    val majorityAt: Timestamp = Timestamp.DISTANT_PAST,
    val requestedUntil: Timestamp = Timestamp.DISTANT_PAST,
) {
    fun started(now: Timestamp): MajorityPoll = copy(startedAt = now, answered = emptySet(), isComplete = false)

    fun replyReceived(router: RouterId): MajorityPoll = if (isComplete) this else copy(answered = answered + router)

    fun completed(): MajorityPoll = copy(isComplete = true, answered = emptySet(), majorityAt = startedAt)

    fun requested(now: Timestamp): MajorityPoll =
        copy(requestedUntil = now.plusMicroseconds(MAJORITY_VALIDITY_MICROSECONDS))

    fun isDue(now: Timestamp): Boolean = now.microsecondsSince(startedAt) >= PERIOD_MICROSECONDS

    fun isMajorityRecent(now: Timestamp): Boolean = now.microsecondsSince(majorityAt) <= MAJORITY_VALIDITY_MICROSECONDS

    companion object {
        /** Equal to the read period, so that confirmations are as frequent during an outage of the service. */
        const val PERIOD_MICROSECONDS = 500_000L
        const val MAJORITY_VALIDITY_MICROSECONDS = 1_000_000L
    }
}
