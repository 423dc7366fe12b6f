package azuredale.standin

/** A fault of one answer of the engine stand-in. */
public sealed interface EngineFault {
    /** Closes the connection after [tokens] tokens; zero means before the head of the answer. */
    public data class DieAfter(val tokens: Int) : EngineFault

    /** Ends the stream regularly after [tokens] tokens, but without the finish reason and the end marker. */
    public data class EndEarly(val tokens: Int) : EngineFault

    /** Sends nothing more after [tokens] tokens and keeps the connection open. */
    public data class StallAfter(val tokens: Int) : EngineFault

    /** Answers under the identity of an earlier attempt of the same request. */
    public data object AnswerEarlierAttempt : EngineFault

    /** Answers the request [id] and the prompt [prompt] of somebody else. */
    public data class AnswerOther(
        val id: String,
        val prompt: String,
    ) : EngineFault

    /** Sends one chunk of the request [id] after [tokens] own tokens. */
    public data class CrossAfter(
        val tokens: Int,
        val id: String,
    ) : EngineFault

    /** Starts to answer after [milliseconds]. */
    public data class AnswerLate(val milliseconds: Long) : EngineFault

    /** Repeats the token after [tokens] tokens. */
    public data class RepeatAfter(val tokens: Int) : EngineFault

    /** Starts every answer at its first token, also when asked to resume. */
    public data object IgnoreResume : EngineFault

    /** Answers with [status] only. */
    public data class Status(val status: Int) : EngineFault
}
