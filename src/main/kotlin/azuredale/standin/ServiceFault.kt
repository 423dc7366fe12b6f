package azuredale.standin

/** A fault of one call of the service stand-in. */
public sealed interface ServiceFault {
    /** Runs the call and closes the connection without an answer. */
    public data object DieAfterRun : ServiceFault

    /** Closes the connection without running the call. */
    public data object DieBeforeRun : ServiceFault

    /** Runs the call and closes the connection in the middle of the answer. */
    public data object DieMidAnswer : ServiceFault

    /** Runs the call and answers after [milliseconds]. */
    public data class AnswerLate(val milliseconds: Long) : ServiceFault

    /** Runs the call and answers under the request id [id]. */
    public data class AnswerOther(val id: String) : ServiceFault

    /** Answers with [status] without running the call. */
    public data class Status(val status: Int) : ServiceFault
}
