package azuredale.routing

/** Response to one caller. Must only be used on the event loop of the caller's connection. */
internal interface CallerResponse {
    val stream: CallerStream

    /** Whether the response head has been written, so that the status can no longer change. */
    val hasBegun: Boolean

    /** Completes the response according to [result]. */
    fun finish(result: RequestResult)
}
