package azuredale.gateway

import io.vertx.core.buffer.Buffer

/** The body of a request, or why there is none. */
public sealed interface BodyResult {
    /** The whole body. */
    public data class Whole(val bytes: Buffer) : BodyResult

    /** The body is longer than the limit. */
    public data object TooLarge : BodyResult

    /** The caller left, or sent bytes that are no body, before the body was whole. */
    public data object Broken : BodyResult
}

/**
 * One request of a caller with the means to answer it, as far as the decisions use it.
 *
 * Exactly one of [answer] and [beginStream] is called; [abort] may follow a begun stream.
 */
public interface Caller {
    public val head: RequestHead

    /** Reads the whole body of at most [limitBytes]. */
    public suspend fun body(limitBytes: Int): BodyResult

    /** Sends a whole answer. */
    public fun answer(status: Int, headers: List<Header>, body: Buffer)

    /** Sends the head of an answer whose body follows in pieces. */
    public fun beginStream(status: Int, headers: List<Header>)

    /** Sends a piece; returns false while the caller's buffer is full, until [whenWritable] calls back. */
    public fun write(bytes: Buffer): Boolean

    /** Calls [action] once when the caller's buffer has room again. */
    public fun whenWritable(action: () -> Unit)

    /** Ends a begun stream as complete. */
    public fun end()

    /** Breaks the connection, so that an incomplete answer does not look complete. */
    public fun abort()

    /** Calls [action] when the caller's connection closes before the answer is complete. */
    public fun whenGone(action: () -> Unit)
}
