package azuredale.configuration

import azuredale.identity.RouterId
import azuredale.time.Timestamp

/**
 * Rounds in which this node asks the members of the fleet for their revision and counts the answers.
 *
 * @property startedAt start of the present round.
 * @property answered members that answered in this round.
 * @property isComplete whether this round has reached a majority.
 * @property majorityAt start of the last round that reached a majority; at that time the fleet was still connected.
 * @property wantedUntil time up to which something in this node needs to know about the majority.
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
        /** The same as the period of reads, so that confirmations are as frequent in an outage as without one. */
        const val PERIOD_MICROSECONDS = 500_000L
        const val VALID_MICROSECONDS = 1_000_000L
    }
}
