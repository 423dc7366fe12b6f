package azuredale.gateway

import io.vertx.core.buffer.Buffer

/** Result of reading a request body. */
public sealed interface BodyResult {
    /** The complete body. */
    public data class Complete(val bytes: Buffer) : BodyResult

    /** The body is longer than the limit. */
    public data object TooLarge : BodyResult

    /** The caller disconnected or sent invalid data before the body was complete. */
    public data object Incomplete : BodyResult

    /** The router has no memory for the rest of the body. */
    public data object NoRoom : BodyResult
}

/**
 * A request of a caller, with the operations to respond to it.
 *
 * Exactly one of [respond] and [beginStream] is called; [abort] may follow [beginStream].
 */
public interface Caller {
    public val head: RequestHead

    /** Whether the caller's connection closed before the response was complete. */
    public val isDisconnected: Boolean

    /** Length of the body as declared by the caller, null if it is not declared; 0 if there is no body. */
    public val declaredBytes: Long?

    /** Stops reading the caller's connection until [readBody] is called or the request is answered. */
    public fun pause()

    /**
     * Reads the complete body of at most [limitBytes].
     *
     * @param mayHold called with the number of bytes before more of them are held; false ends the reading.
     */
    public suspend fun readBody(limitBytes: Int, mayHold: (Long) -> Boolean): BodyResult

    /** Sends a complete response; calls [onWritten] when its bytes are no longer held, also if writing them failed. */
    public fun respond(status: Int, headers: List<Header>, body: Buffer, onWritten: () -> Unit = {})

    /** Sends the head of a response whose body is streamed. */
    public fun beginStream(status: Int, headers: List<Header>)

    /** Sends a chunk; returns false if the write buffer is full and the caller should wait for [onWritable]. */
    public fun write(bytes: Buffer): Boolean

    /** Calls [action] once when the write buffer has space again. */
    public fun onWritable(action: () -> Unit)

    /** Completes a stream. */
    public fun end()

    /** Closes the connection, so that an incomplete response cannot be mistaken for a complete one. */
    public fun abort()

    /** Calls [action] if the caller's connection closes before the response is complete. */
    public fun onDisconnect(action: () -> Unit)
}
