package azuredale.measure

/** A violated invariant of section 1.2 of the design page; [number] is 0 for an error in the decision code itself. */
internal data class InvariantViolation(
    val number: Int,
    val time: Long,
    val text: String,
) {
    override fun toString(): String = "invariant $number violated at ${time / EventQueue.MILLISECOND} ms: $text"
}

/** Collects violated invariants and the last events of a run, so that a failure can be diagnosed without a rerun. */
internal class InvariantMonitor(private val queue: EventQueue) {
    private val found = ArrayList<InvariantViolation>()
    private val failurePlaces = HashSet<String>()
    private val recent = ArrayDeque<String>()

    /** Receives every trace line; can be set to obtain a full trace. */
    var onTrace: ((String) -> Unit)? = null
    val violations: List<InvariantViolation> get() = found
    val trace: List<String> get() = recent

    fun report(number: Int, text: String) {
        if (found.size < MAXIMUM_KEPT) found.add(InvariantViolation(number, queue.now, text))
    }

    /** Reports an exception of the decision code, once for each place in the code. */
    fun reportFailure(router: String, event: Any, failure: RuntimeException) {
        val place = failure.stackTrace.take(TRACE_LINES).joinToString(" <- ")
        if (failurePlaces.add(place)) report(0, "$router failed on $event: $failure at $place")
    }

    fun trace(text: () -> String) {
        val line = "${queue.now} ${text()}"
        recent.addLast(line)
        if (recent.size > MAXIMUM_KEPT) recent.removeFirst()
        onTrace?.invoke(line)
    }

    private companion object {
        const val MAXIMUM_KEPT = 60
        const val TRACE_LINES = 6
    }
}
