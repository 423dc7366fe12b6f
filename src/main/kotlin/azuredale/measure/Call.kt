package azuredale.measure

import azuredale.identity.AttemptNumber
import azuredale.identity.RequestNumber

/** A request as one router received it; a caller that sends it again makes a new call. */
internal class Call(
    val work: WorkItem,
    val router: Int,
    val number: RequestNumber,
    val submission: Int,
) {
    /** Units of the answer that the caller has. */
    var delivered: Int = 0

    /** Whether a server got the request from this call. */
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

    /** Cost in the pool's unit that this attempt delivered. */
    var cost: Int = 0
}
