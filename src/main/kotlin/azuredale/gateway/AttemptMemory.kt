package azuredale.gateway

import azuredale.directory.BackendEntry
import azuredale.engine.EngineMemory
import azuredale.engine.MemoryClaim
import azuredale.time.Timestamp

/**
 * Memory that one attempt takes at its server.
 *
 * @param tokensPerEvent tokens in one event of the stream.
 */
internal class AttemptMemory(
    private val memory: EngineMemory,
    private val claim: MemoryClaim,
    private val server: BackendEntry,
    private val route: String,
    private val tokensPerEvent: Int,
) {
    private var isComplete = false

    /** Records [count] events of the stream. */
    fun recordEvents(count: Int) = claim.recordOutput(count * tokensPerEvent)

    /** Records that the response is complete. */
    fun recordComplete() {
        isComplete = true
    }

    /** Frees the memory. */
    fun release(now: Timestamp) = memory.release(server, claim, route, isComplete, now)
}
