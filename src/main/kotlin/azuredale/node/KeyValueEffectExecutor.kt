package azuredale.node

import azuredale.configuration.DocumentSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

/** Executes the effects that call the key-value service and posts the results as events. */
internal class KeyValueEffectExecutor(
    private val source: DocumentSource,
    private val claim: suspend (NodeEffect.ClaimKey) -> ClaimResult,
    private val scope: CoroutineScope,
    private val post: (NodeEvent) -> Unit,
) {
    private var watch: Job? = null

    /** Reads the document once and posts the result. */
    fun readDocument() {
        scope.launch { post(source.read()) }
    }

    /** Starts or stops watching the document's key; posts each result of the watch. */
    @Synchronized
    fun watchDocument(isWatching: Boolean) {
        if (!isWatching) {
            watch?.cancel()
            watch = null
        } else if (watch?.isActive != true) {
            watch = scope.launch { source.watch().collect { post(it) } }
        }
    }

    /** Claims an idempotency key and posts the result. */
    fun claimKey(effect: NodeEffect.ClaimKey) {
        scope.launch { post(NodeEvent.KeyClaimed(effect.request, claim(effect))) }
    }
}
