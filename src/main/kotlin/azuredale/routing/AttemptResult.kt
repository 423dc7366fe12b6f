package azuredale.routing

/** Result of sending a request to a backend server once, as observed by the HTTP edge. */
public sealed interface AttemptResult {
    /** Cost of the response data delivered to the caller so far, in the pool's cost unit. */
    public val cost: Double

    /** The complete response arrived. [response] is stored for duplicates of a non-idempotent request. */
    public data class Completed(
        override val cost: Double,
        val response: StoredResponse? = null,
    ) : AttemptResult

    /** No connection could be opened, so no byte of the request was sent. */
    public data class NotConnected(val detail: String) : AttemptResult {
        override val cost: Double get() = 0.0
    }

    /** The server failed after part of the request was sent; [delivered] units of the response reached the caller. */
    public data class Broken(
        override val cost: Double,
        val delivered: Long,
        val detail: String,
    ) : AttemptResult

    /** The response belongs to another request or attempt; none of it was delivered to the caller. */
    public data class WrongAnswer(
        override val cost: Double,
        val detail: String,
    ) : AttemptResult
}

/** A response stored for duplicates of a non-idempotent request. The HTTP edge limits the size of the body. */
public class StoredResponse(
    public val status: Int,
    public val contentType: String?,
    public val body: ByteArray,
)

/** Final result of a caller's request. */
public sealed interface RequestResult {
    /** The complete response was delivered. */
    public data object Completed : RequestResult

    /** The request duplicates an earlier non-idempotent request and gets the stored response. */
    public data class Duplicate(val response: StoredResponse) : RequestResult

    /** The request failed. */
    public data class Failed(val failure: azuredale.outcome.Failure) : RequestResult
}
