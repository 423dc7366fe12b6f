package azuredale.gateway

import azuredale.engine.RoomNotice

/** Input to the coroutine of a request. */
internal sealed interface RequestSignal {
    class FromBackend(
        val attempt: Int,
        val event: BackendEvent,
    ) : RequestSignal

    data object CallerGone : RequestSignal

    data object DeadlinePassed : RequestSignal

    data object CallerWritable : RequestSignal

    data object ProgressDue : RequestSignal

    /** The request waits for room, and has to look again. */
    class Room(val notice: RoomNotice) : RequestSignal

    data object RouterStopped : RequestSignal

    /** The response of an attempt has to give way to those of other servers. */
    class BufferEvicted(val attempt: Int) : RequestSignal
}
