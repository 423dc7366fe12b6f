package azuredale.routing

/** The caller's side of one request; used on the event loop of the caller's connection only. */
internal interface CallerAnswer {
    val stream: CallerStream

    /** Whether a byte of the answer was written, so that its status can no longer change. */
    val hasBegun: Boolean

    /** Ends the answer. */
    fun finish(result: RequestResult)
}
