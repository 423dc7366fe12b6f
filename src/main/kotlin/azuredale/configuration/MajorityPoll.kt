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
 * @property wantedUntil time until which this node polls because a caller asked for a majority.
 */
internal data class MajorityPoll(
    val startedAt: Timestamp = Timestamp.DISTANT_PAST,
    val answered: Set<RouterId> = emptySet(),
    val isComplete: Boolean = false,
    val majorityAt: Timestamp = Timestamp.DISTANT_PAST,
    val wantedUntil: Timestamp = Timestamp.DISTANT_PAST,
) {
    fun started(now: Timestamp): MajorityPoll = copy(startedAt = now, answered = emptySet(), isComplete = false)

    fun answeredBy(router: RouterId): MajorityPoll = if (isComplete) this else copy(answered = answered + router)

    fun completed(): MajorityPoll = copy(isComplete = true, answered = emptySet(), majorityAt = startedAt)

    fun wanted(now: Timestamp): MajorityPoll = copy(wantedUntil = now.plusMicroseconds(VALID_MICROSECONDS))

    fun isDue(now: Timestamp): Boolean = now.microsecondsSince(startedAt) >= PERIOD_MICROSECONDS

    fun isValid(now: Timestamp): Boolean = now.microsecondsSince(majorityAt) <= VALID_MICROSECONDS

    companion object {
        /** Equal to the read period, so that confirmations are as frequent during an outage of the service. */
        const val PERIOD_MICROSECONDS = 500_000L
        const val VALID_MICROSECONDS = 1_000_000L
    }
}
