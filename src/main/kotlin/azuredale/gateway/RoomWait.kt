package azuredale.gateway

import azuredale.engine.RoomNotice
import azuredale.engine.RoomWaiter
import azuredale.engine.ServerSelection
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.time.Timestamp

/** The wait of one request, which has not been sent to any server, for room in the memory of one. */
internal class RoomWait(
    private val exchange: RequestExchange,
    private val servers: ServerChoice,
    private val wait: NextStep.Wait,
) {
    private val context = exchange.context
    private val clock = context.clock
    private val rooms = context.admission.rooms
    private val since = clock()

    /** The wait is over; [selection] is null if the request has ended. */
    private class End(val selection: ServerSelection.Selected?)

    /** Waits; returns the server that has room, or null if the request has ended without one. */
    suspend fun await(): ServerSelection.Selected? {
        val waiter =
            RoomWaiter(wait.need, exchange.authorized.team, since, wait.latestStart) {
                exchange.signals.trySend(RequestSignal.Room(it))
            }
        rooms.queue.add(waiter)
        rooms.recordBegin(wait)
        try {
            for (signal in exchange.signals) {
                val end = onSignal(signal, clock())
                if (end != null) return end.selection
            }
        } finally {
            rooms.queue.remove(waiter)
        }
        error("signal channel of a request was closed")
    }

    /** Null if the request waits on. */
    private fun onSignal(signal: RequestSignal, now: Timestamp): End? = when (signal) {
        is RequestSignal.Room -> onNotice(signal.notice, now)
        is RequestSignal.CallerGone -> {
            rooms.recordEnd(RoomWaitEnd.CALLER_GONE, since, now)
            exchange.log.ended("caller disconnected while the request waited for room")
            End(selection = null)
        }
        is RequestSignal.DeadlinePassed -> {
            val retryAt = RetryDelay.afterDisruption(now)
            refuse(Failure(ErrorKind.DEADLINE_BEFORE_START, "no room in time", retryAt), RoomWaitEnd.LATE, now)
        }
        is RequestSignal.RouterStopped -> stopped(now)
        else -> null
    }

    private fun onNotice(notice: RoomNotice, now: Timestamp): End? = when (notice) {
        RoomNotice.TURN -> servers.ask(rooms.queue.asksPerSecond, now)?.let { end(it, now) }
        RoomNotice.CHANGED -> {
            val objection = context.authorizer.recheck(exchange.caller.head, exchange.authorized, now)
            (objection?.let { NextStep.Refuse(it) } ?: servers.recheck(now))?.let { end(it, now) }
        }
        RoomNotice.LATE -> {
            val waited = now.microsecondsSince(since) / Timestamp.MICROSECONDS_PER_MILLISECOND
            refuse(servers.noRoomInTime(waited, now), RoomWaitEnd.LATE, now)
        }
        RoomNotice.STOPPED -> stopped(now)
    }

    private fun stopped(now: Timestamp) = refuse(
        Failure(ErrorKind.DRAINING, "waited for room", RetryDelay.elsewhere(now)),
        RoomWaitEnd.STOPPED,
        now,
    )

    private fun end(step: NextStep, now: Timestamp): End? = when (step) {
        is NextStep.Send -> End(step.selection).also { rooms.recordEnd(RoomWaitEnd.FOUND, since, now) }
        is NextStep.Refuse -> refuse(step.failure, RoomWaitEnd.REFUSED, now)
        is NextStep.Wait -> null
    }

    private fun refuse(failure: Failure, end: RoomWaitEnd, now: Timestamp): End {
        rooms.recordEnd(end, since, now)
        exchange.response.refuse(failure)
        return End(selection = null)
    }
}
