package azuredale.gateway

import azuredale.time.Timestamp
import kotlinx.coroutines.CompletableDeferred

/**
 * Bound on the bytes of request bodies that a router holds together, from the first byte read until the request ends.
 *
 * A declared length is reserved before the first byte is read; until there is room, the caller's connection is not
 * read. Small bodies have a part of their own, so that large uploads do not keep them waiting.
 *
 * @param totalBytes bytes of all bodies together.
 * @param timer schedules an action for a given time.
 */
internal class RequestBodyBudget(
    private val totalBytes: Long,
    private val timer: (Timestamp, () -> Unit) -> Timer,
) {
    private class Waiting(
        val bytes: Long,
        val isGranted: CompletableDeferred<Boolean>,
    )

    private val smallBytes = totalBytes / SMALL_PARTS
    private val largeBytes = totalBytes - smallBytes
    private val waiting = ArrayDeque<Waiting>()
    private var heldSmall = 0L
    private var heldLarge = 0L

    /** Bytes reserved now, for metrics. */
    val heldBytes: Long get() = heldSmall + heldLarge

    /** Requests that were refused because there was no room, for metrics. */
    var refusals = 0L
        private set

    /** Room for one body, until [release] is called. */
    inner class Reservation(bytes: Long) {
        private var bytes = bytes
        private var isReleased = false

        /** Makes room for [count] bytes of a body whose length was not declared; returns whether there is room. */
        fun grow(count: Long): Boolean {
            if (count <= bytes) return true
            val needed = maxOf(count, bytes * 2)
            if (!mayHold(needed, bytes)) {
                recordRefusal()
                return false
            }
            add(bytes, -1)
            add(needed, 1)
            bytes = needed
            return true
        }

        /** Returns all bytes to the budget. */
        fun release() {
            if (isReleased) return
            isReleased = true
            add(bytes, -1)
            grantWaiting()
        }
    }

    /** Reserves [bytes], or a first part if the length is not declared; returns null if there is no room now. */
    fun tryReserve(bytes: Long?): Reservation? {
        val needed = needed(bytes)
        val isTurn = isSmall(needed) || waiting.isEmpty()
        if (!isTurn || !mayHold(needed)) return null
        add(needed, 1)
        return Reservation(needed)
    }

    /** Waits for room for [bytes]; returns null if there is none until [until], or if it cannot come. */
    suspend fun reserve(bytes: Long?, until: Timestamp): Reservation? {
        val needed = needed(bytes)
        val mayWait = !isSmall(needed) && needed <= largeBytes && waiting.size < MAXIMUM_WAITING
        if (mayWait && awaitRoom(needed, until)) return Reservation(needed)
        recordRefusal()
        return null
    }

    /** Each request is refused at most once: it gets no room, or its body outgrows the room that it got. */
    private fun recordRefusal() {
        refusals++
    }

    private fun needed(bytes: Long?) = maxOf(bytes ?: FIRST_PART_BYTES, 1)

    private suspend fun awaitRoom(bytes: Long, until: Timestamp): Boolean {
        val request = Waiting(bytes, CompletableDeferred())
        waiting.addLast(request)
        val timeout = timer(until) { if (waiting.remove(request)) request.isGranted.complete(false) }
        return try {
            request.isGranted.await()
        } finally {
            timeout.cancel()
            grantWaiting()
        }
    }

    /** Grants in order of arrival, so that a large body is not overtaken without end by smaller ones. */
    private fun grantWaiting() {
        while (true) {
            val next = waiting.firstOrNull()?.takeIf { mayHold(it.bytes) } ?: return
            waiting.removeFirst()
            add(next.bytes, 1)
            next.isGranted.complete(true)
        }
    }

    private fun isSmall(bytes: Long) = bytes <= MAXIMUM_SMALL_BYTES

    /** Whether there is room for [bytes] in place of [held]. */
    private fun mayHold(bytes: Long, held: Long = 0): Boolean = if (isSmall(bytes)) {
        heldSmall + bytes - held <= smallBytes
    } else {
        heldLarge + bytes - (if (isSmall(held)) 0 else held) <= largeBytes
    }

    private fun add(bytes: Long, sign: Int) {
        if (isSmall(bytes)) heldSmall += sign * bytes else heldLarge += sign * bytes
    }

    private companion object {
        /** Small bodies have one in this number of parts of the budget. */
        const val SMALL_PARTS = 4

        /** Most requests are shorter. */
        const val MAXIMUM_SMALL_BYTES = 16 * 1024L

        /** Reserved first for a body without a declared length. */
        const val FIRST_PART_BYTES = 4 * 1024L

        /** Bounds the callers whose connections are not read; more of them are refused at once. */
        const val MAXIMUM_WAITING = 64
    }
}
