package azuredale.node

import azuredale.configuration.DocumentSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

/** Executes effects that concern the key-value service and posts its answers as events. */
internal class PlatformEdge(
    private val source: DocumentSource,
    private val claim: suspend (NodeEffect.ClaimKey) -> ClaimResult,
    private val scope: CoroutineScope,
    private val post: (NodeEvent) -> Unit,
) {
    private var watch: Job? = null

    /** Reads the document once. */
    fun readDocument() {
        scope.launch { post(source.read()) }
    }

    /** Starts or stops the watch of the document's key. */
    @Synchronized
    fun watchDocument(isWatching: Boolean) {
        if (!isWatching) {
            watch?.cancel()
            watch = null
        } else if (watch?.isActive != true) {
            watch = scope.launch { source.watch().collect { post(it) } }
        }
    }

    /** Claims an idempotency key. */
    fun claimKey(effect: NodeEffect.ClaimKey) {
        scope.launch { post(NodeEvent.KeyClaimed(effect.request, claim(effect))) }
    }
}
