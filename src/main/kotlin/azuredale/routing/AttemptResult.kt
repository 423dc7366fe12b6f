package azuredale.routing

/** How an attempt at a backend server ended, as seen by the HTTP edge. */
public sealed interface AttemptResult {
    /** Cost delivered to the caller so far, in the pool's cost unit. */
    public val cost: Double

    /** The whole answer arrived; [answer] is kept for repeats of a non-idempotent request. */
    public data class Completed(
        override val cost: Double,
        val answer: KeptAnswer? = null,
    ) : AttemptResult

    /** No connection was opened, so no byte was written. */
    public data class NotConnected(val detail: String) : AttemptResult {
        override val cost: Double get() = 0.0
    }

    /** The server failed after at least one byte was written; [delivered] units of the answer reached the caller. */
    public data class Broken(
        override val cost: Double,
        val delivered: Long,
        val detail: String,
    ) : AttemptResult

    /** The server answered another request or attempt; nothing of that answer was delivered. */
    public data class WrongAnswer(
        override val cost: Double,
        val detail: String,
    ) : AttemptResult
}

/** An answer kept for repeats of a non-idempotent request; the body is bounded by the HTTP edge. */
public class KeptAnswer(
    public val status: Int,
    public val contentType: String?,
    public val body: ByteArray,
)

/** How a caller's request ended. */
public sealed interface RequestResult {
    /** The whole answer was delivered. */
    public data object Completed : RequestResult

    /** A repeat of a non-idempotent request gets the kept answer. */
    public data class Repeated(val answer: KeptAnswer) : RequestResult

    /** The request failed. */
    public data class Failed(val failure: azuredale.outcome.Failure) : RequestResult
}
