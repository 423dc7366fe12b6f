package azuredale.gateway

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

    data object RouterStopped : RequestSignal

    /** The response of an attempt has to give way to those of other servers. */
    class BufferEvicted(val attempt: Int) : RequestSignal
}
