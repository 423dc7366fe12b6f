package azuredale.standin

/** A fault injected into one call of [ServiceStandIn]. */
public sealed interface ServiceFault {
    /** Runs the call and closes the connection without a response. */
    public data object DisconnectAfterRun : ServiceFault

    /** Closes the connection without running the call. */
    public data object DisconnectBeforeRun : ServiceFault

    /** Runs the call and closes the connection halfway through the response. */
    public data object DisconnectMidResponse : ServiceFault

    /** Runs the call and responds after [milliseconds]. */
    public data class DelayResponse(val milliseconds: Long) : ServiceFault

    /** Runs the call and responds with the id of another request, [id]. */
    public data class RespondToOtherRequest(val id: String) : ServiceFault

    /** Responds with [status] without running the call. */
    public data class Status(val status: Int) : ServiceFault
}
