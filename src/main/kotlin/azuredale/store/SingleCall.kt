package azuredale.store

import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch

/** Runs periodic calls to the key-value service one at a time, and none right after a failed one. */
internal class SingleCall(
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private var isCalling = false
    private var notBefore = Timestamp.DISTANT_PAST

    /** Whether [start] may be called at [now]. */
    fun isFree(now: Timestamp): Boolean = !isCalling && now >= notBefore

    /** Starts [action], which returns whether it has succeeded. */
    fun start(action: suspend () -> Boolean) {
        isCalling = true
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            var isDone = false
            try {
                isDone = action()
            } finally {
                isCalling = false
                notBefore = clock().plusMilliseconds(if (isDone) 0 else RETRY_MILLISECONDS)
            }
        }
    }

    private companion object {
        /** A third of the time that a call may take. */
        const val RETRY_MILLISECONDS = 300L
    }
}
