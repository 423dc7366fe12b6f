package azuredale.gateway

import azuredale.engine.Choice
import azuredale.engine.EngineBook
import azuredale.engine.ServerLoad
import azuredale.time.Timestamp

/** Keeps the books of one attempt: work at the server, what was learned of its speed, its failures. */
internal class AttemptLedger(
    private val book: EngineBook,
    private val choice: Choice.Chosen,
    private val startedAt: Timestamp,
    private val onExcluded: (Choice.Chosen) -> Unit,
) {
    private val server = choice.server
    private var load = ServerLoad(waitingTokens = choice.uncachedTokens, running = 1)
    private var hasEvent = false
    private val tokensAhead = book.remainingTokens(choice.load)
    private var sentAt = startedAt
    private var firstEventAt = startedAt

    init {
        book.loads.add(server.id, load)
        book.failures(server.id).sent(startedAt)
    }

    /** The request was written; the wait for a connection says nothing of the server's speed. */
    fun sent(now: Timestamp) {
        sentAt = now
    }

    /** An event of the stream arrived. */
    fun event(now: Timestamp) {
        if (hasEvent) return
        hasEvent = true
        change(ServerLoad(waitingTokens = 0, running = 1))
        book.failures(server.id).succeeded()
        val took = now.microsecondsSince(sentAt).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND
        firstEventAt = now
        book.firstEvent(server, tokensAhead + choice.uncachedTokens, took, now)
    }

    /** The server answered as it should. */
    fun succeeded(now: Timestamp) {
        book.failures(server.id).succeeded()
        if (!hasEvent) return
        val held = now.microsecondsSince(firstEventAt).toDouble() / Timestamp.MICROSECONDS_PER_MILLISECOND
        book.timing(server.pool).holdObserved(held)
    }

    /** The server refused the request. */
    fun refused(now: Timestamp, status: Int) {
        if (status == MISDIRECTED) failed(now)
    }

    /** No answer came in the time that the request had. */
    fun timedOut(now: Timestamp) {
        if (!hasEvent) failed(now)
    }

    /** The server could not be reached or broke off. */
    fun failed(now: Timestamp) {
        if (book.failures(server.id).failed(now)) onExcluded(choice)
    }

    /** The attempt is over. */
    fun ended() = change(ServerLoad.NONE)

    private fun change(after: ServerLoad) {
        book.loads.add(
            server.id,
            ServerLoad(after.waitingTokens - load.waitingTokens, after.running - load.running),
        )
        load = after
    }

    private companion object {
        /** Another process has the server's address. */
        const val MISDIRECTED = 421
    }
}
