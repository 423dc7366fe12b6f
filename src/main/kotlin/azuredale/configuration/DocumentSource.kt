package azuredale.configuration

import azuredale.identity.Revision
import azuredale.logging.EventLog
import azuredale.node.NodeEvent
import azuredale.store.KeyValueService
import azuredale.store.KeyVersion
import azuredale.store.ReadResult
import azuredale.store.StoreEra
import azuredale.store.StoredValue
import azuredale.store.VersionResult
import azuredale.store.WatchEvent
import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import java.util.concurrent.atomic.AtomicReference

/**
 * Reads and watches the document's key in the key-value service and emits the results as [NodeEvent]s.
 *
 * ```
 * is NodeEffect.ReadDocument -> scope.launch { dispatch(source.read()) }
 * is NodeEffect.WatchDocument -> scope.launch { source.watch().collect(::dispatch) }
 * ```
 */
public class DocumentSource(
    private val service: KeyValueService,
    private val clock: Clock,
) {
    /** A document's [revision] and the [version] of its key, which identifies a value within one [era] only. */
    private class KnownDocument(
        val version: KeyVersion,
        val era: StoreEra,
        val revision: Revision,
    )

    private val lastRead = AtomicReference<KnownDocument>()

    /** Executes [NodeEffect.ReadDocument]. If the key version is unchanged, does not transfer the document again. */
    public suspend fun read(): NodeEvent {
        val deadline = clock().plusMilliseconds(READ_TIMEOUT_MILLISECONDS)
        return lastRead.get()?.let { confirm(it, deadline) } ?: readAll(deadline)
    }

    /** Watches the key until the collector is cancelled. Reopens a broken watch with exponential backoff. */
    public fun watch(): Flow<NodeEvent> = flow {
        var backoff = INITIAL_BACKOFF_MILLISECONDS
        while (true) {
            service.watch(DocumentEnvelope.KEY).collect { event ->
                if (event == WatchEvent.Started) backoff = INITIAL_BACKOFF_MILLISECONDS
                eventOf(event)?.let { emit(it) }
            }
            delay(backoff)
            backoff = (backoff * 2).coerceAtMost(MAXIMUM_BACKOFF_MILLISECONDS)
        }
    }

    /** Reads the key when a watch starts, since a change before the start is not reported by the watch. */
    private suspend fun eventOf(event: WatchEvent): NodeEvent? = when (event) {
        is WatchEvent.Started -> read()
        is WatchEvent.Changed -> documentOf(event.stored, event.era)
        is WatchEvent.Removed -> NodeEvent.DocumentRead(null)
        is WatchEvent.Broken -> null
    }

    private suspend fun confirm(last: KnownDocument, deadline: Timestamp): NodeEvent? =
        when (val result = service.readVersion(DocumentEnvelope.KEY, deadline)) {
            is VersionResult.Failed -> NodeEvent.PlatformFailed
            is VersionResult.Found ->
                NodeEvent.RevisionConfirmed(last.revision).takeIf {
                    result.version == last.version && result.era == last.era
                }
        }

    private suspend fun readAll(deadline: Timestamp): NodeEvent =
        when (val result = service.read(DocumentEnvelope.KEY, deadline)) {
            is ReadResult.Failed -> NodeEvent.PlatformFailed
            is ReadResult.Missing -> NodeEvent.DocumentRead(null)
            is ReadResult.Found -> documentOf(result.stored, result.era)
        }

    /** Reports a malformed value as a platform failure, not as a missing document. */
    private fun documentOf(stored: StoredValue, era: StoreEra): NodeEvent {
        val document = DocumentEnvelope.decode(stored.bytes)?.accepted()
        if (document == null) {
            log.write(ConfigurationLogEvent.DOCUMENT_MALFORMED, "from" to "service", "version" to stored.version)
            return NodeEvent.PlatformFailed
        }
        lastRead.set(KnownDocument(stored.version, era, document.revision))
        return NodeEvent.DocumentRead(document)
    }

    private companion object {
        val log = EventLog("azuredale.configuration")

        /** Less than [ReadSchedule.READ_TIMEOUT_MICROSECONDS], so that a read ends before the next one starts. */
        const val READ_TIMEOUT_MILLISECONDS = 800L
        const val INITIAL_BACKOFF_MILLISECONDS = 250L
        const val MAXIMUM_BACKOFF_MILLISECONDS = 4_000L
    }
}
