package azuredale.gateway

import azuredale.directory.BackendEntry
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.time.Timestamp

/** Whether a request may be written to the server that was chosen for it, now that the connection is open. */
public sealed interface SendDecision {
    /** Write [request] now. */
    public class Send(public val request: BackendRequest) : SendDecision

    /** The server may not be used any more; another one may be. */
    public data class ChooseAnother(val detail: String) : SendDecision

    /** The request may not be sent to any server. */
    public data class Refuse(val failure: Failure) : SendDecision

    /** The caller has disconnected. */
    public data object CallerGone : SendDecision
}

/**
 * Checks what may have changed between the choice of a server and the moment at which the request is written.
 *
 * A router that is behind runs its work in the order in which it became due, so a connection may be reported as open
 * before the timer of the deadline, the disconnection of the caller or a change of the directory is handled.
 *
 * @param mayUse whether a server may get requests at a given time.
 * @param directoryFault why the directory is too old to tell that, null if it is recent enough.
 */
internal class SendGuard(
    private val authorizer: RequestAuthorizer,
    private val mayUse: (BackendEntry, Timestamp) -> Boolean,
    private val directoryFault: (Timestamp) -> String?,
) {
    /** Returns the failure if this router does not know which servers accept requests, otherwise null. */
    fun directoryFailure(now: Timestamp): Failure? = directoryFault(now)?.let { detail ->
        Failure(ErrorKind.STALE_DIRECTORY, detail, RetryDelay.afterDisruption(now))
    }

    /** Returns why the request of [caller] may not be written to [server] at [now], or null if it may. */
    fun objection(
        caller: Caller,
        request: AuthorizedRequest,
        server: BackendEntry,
        deadline: Timestamp,
        now: Timestamp,
    ): SendDecision? {
        if (caller.isDisconnected) return SendDecision.CallerGone
        if (now >= deadline) {
            val retryAt = RetryDelay.afterDisruption(now)
            return SendDecision.Refuse(Failure(ErrorKind.DEADLINE_BEFORE_START, "no connection in time", retryAt))
        }
        directoryFailure(now)?.let { return SendDecision.Refuse(it) }
        if (!mayUse(server, now)) return SendDecision.ChooseAnother("server ${server.id} takes no more requests")
        return authorizer.recheck(caller.head, request, now)?.let { SendDecision.Refuse(it) }
    }
}
