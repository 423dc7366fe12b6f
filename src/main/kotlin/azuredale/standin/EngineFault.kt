package azuredale.standin

/** A fault injected into one response of [EngineStandIn]. */
public sealed interface EngineFault {
    /** Closes the connection after [tokens] tokens; 0 means before the response head. */
    public data class DisconnectAfter(val tokens: Int) : EngineFault

    /** Ends the stream normally after [tokens] tokens, but without the finish reason and the end marker. */
    public data class TruncateAfter(val tokens: Int) : EngineFault

    /** Stops sending after [tokens] tokens and keeps the connection open. */
    public data class StallAfter(val tokens: Int) : EngineFault

    /** Responds with the number of an earlier attempt of the same request. */
    public data object RespondAsEarlierAttempt : EngineFault

    /** Responds with the id and the text of another request, which has [id] and [prompt]. */
    public data class RespondToOtherRequest(
        val id: String,
        val prompt: String,
    ) : EngineFault

    /** Sends one chunk of another request, which has [id], after [tokens] tokens of this one. */
    public data class ForeignChunkAfter(
        val tokens: Int,
        val id: String,
    ) : EngineFault

    /** Delays the first token by [milliseconds]. */
    public data class DelayResponse(val milliseconds: Long) : EngineFault

    /** Sends the last token again after [tokens] tokens. */
    public data class RepeatTokenAfter(val tokens: Int) : EngineFault

    /** Starts the response at its first token even when asked to resume. */
    public data object IgnoreResume : EngineFault

    /** Responds with the error [status] instead of a completion. */
    public data class Status(val status: Int) : EngineFault
}
