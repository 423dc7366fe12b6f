package azuredale.measure

import azuredale.identity.AttemptNumber
import azuredale.identity.RequestNumber

/** A request as received by one router; every retry by the caller is a new call. */
internal class Call(
    val work: WorkItem,
    val router: Int,
    val number: RequestNumber,
    val submission: Int,
) {
    /** Units of the answer that have reached the caller. */
    var delivered: Int = 0

    /** Whether this call has reached a server. */
    var hasReachedServer: Boolean = false
    var isWaiting: Boolean = false
    var attempt: Attempt? = null
}

/** One attempt of a call at a server, as the HTTP edge of the router sees it. */
internal class Attempt(
    val call: Call,
    val number: AttemptNumber,
    val server: FakeServer,
    val resumeAt: Long,
) {
    var job: Job? = null
    var isOver: Boolean = false

    /** Cost delivered by this attempt, in the unit of the pool. */
    var cost: Int = 0
}
