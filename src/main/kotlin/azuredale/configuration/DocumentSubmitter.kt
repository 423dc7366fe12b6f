package azuredale.configuration

import azuredale.identity.Revision
import azuredale.logging.EventLog
import azuredale.node.NodeEvent
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.store.KeyValueService
import azuredale.store.KeyVersion
import azuredale.store.ReadResult
import azuredale.store.StoredValue
import azuredale.store.WriteResult
import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Validates submitted documents, stores them by compare-and-swap and pushes them to peers before returning.
 *
 * ```
 * val result = submitter.submit(text, base = Revision(41), submission = "form-7f3a")
 * if (result is SubmissionResult.Raced) show(result.winner, result.revision)
 * ```
 *
 * @param held returns the current document of this node.
 * @param isConnectedWithMajority whether more than half of the fleet replied to this node recently. Called repeatedly.
 * @param push passes an accepted document to the node and returns when the node has sent it to peers.
 * @param timeoutMilliseconds time limit. The result of a submission still pending then is unknown.
 */
public class DocumentSubmitter(
    private val service: KeyValueService,
    private val clock: Clock,
    private val held: () -> AcceptedDocument?,
    private val isConnectedWithMajority: () -> Boolean,
    private val push: suspend (AcceptedDocument) -> Unit,
    private val timeoutMilliseconds: Long = SUBMISSION_TIMEOUT_MILLISECONDS,
) {
    /**
     * Submits [text] as the successor of revision [base], from which the operator edited it.
     *
     * Submitting again with the same [submission] id is safe: it is accepted at most once. Set [isRepeat] for a retry.
     * The result of a retry is unknown if more submissions have followed than the envelope records.
     */
    public suspend fun submit(
        text: String,
        base: Revision,
        submission: String,
        isRepeat: Boolean = false,
    ): SubmissionResult {
        val document =
            when (val parsed = DocumentParser.parse(text)) {
                is ParseResult.Invalid -> return logged(SubmissionResult.Invalid(parsed.errors), submission)
                is ParseResult.Valid -> parsed.value
            }
        val accepted = AcceptedDocument(Revision(base.value + 1), text, document, submission)
        val result = store(accepted, isRepeat, clock().plusMilliseconds(timeoutMilliseconds))
        if (result is SubmissionResult.Accepted) withTimeoutOrNull(PUSH_TIMEOUT_MILLISECONDS) { push(result.document) }
        return logged(result, submission)
    }

    private suspend fun store(document: AcceptedDocument, isRepeat: Boolean, deadline: Timestamp): SubmissionResult {
        if (!awaitMajority()) return noMajority()
        val stored =
            when (val read = service.read(DocumentEnvelope.KEY, callDeadline(deadline))) {
                is ReadResult.Failed -> return failed(ErrorKind.PLATFORM_UNAVAILABLE, read.failure.detail)
                is ReadResult.Missing -> null
                is ReadResult.Found -> read.stored
            }
        val envelope =
            stored?.let {
                DocumentEnvelope.decode(it.bytes)
                    ?: return failed(ErrorKind.PLATFORM_UNAVAILABLE, "the stored document is malformed")
            }
        findConflict(document, envelope, isRepeat)?.let { return it }
        val next =
            DocumentEnvelope(
                document.revision,
                document.submission,
                earlierSubmissionsOf(document, envelope),
                document.text,
            )
        val bytes = next.encode()
        return when {
            bytes.size > DocumentEnvelope.MAXIMUM_BYTES -> tooLarge(bytes.size)
            // The majority may have been lost during the read.
            !awaitMajority() -> noMajority()
            else -> write(document, bytes, stored?.version ?: KeyVersion.ABSENT, deadline)
        }
    }

    /**
     * Returns a result if the service or this node already holds the submission's revision or a higher one.
     *
     * The service may hold a lower revision than this node after losing data; a submission then restores it. A
     * submission must never be accepted with a revision at or below one that any router holds.
     */
    private fun findConflict(
        document: AcceptedDocument,
        envelope: DocumentEnvelope?,
        isRepeat: Boolean,
    ): SubmissionResult? {
        if (envelope != null && envelope.revision >= document.revision) return resultFrom(document, envelope, isRepeat)
        val present = held()
        return present
            ?.takeIf { it.revision >= document.revision }
            ?.let { SubmissionResult.Raced(it.submission, it.revision) }
    }

    private suspend fun write(
        document: AcceptedDocument,
        bytes: ByteArray,
        expected: KeyVersion,
        deadline: Timestamp,
    ): SubmissionResult {
        var backoff = INITIAL_BACKOFF_MILLISECONDS
        var isPossiblyWritten = false
        while (clock() < deadline) {
            val result = service.write(DocumentEnvelope.KEY, bytes, expected, callDeadline(deadline))
            when (result) {
                is WriteResult.Written -> return SubmissionResult.Accepted(document)
                is WriteResult.Conflict -> return afterConflict(document, result.current)
                is WriteResult.Unknown -> isPossiblyWritten = true
                is WriteResult.NotWritten ->
                    if (!isPossiblyWritten) return failed(ErrorKind.PLATFORM_UNAVAILABLE, result.failure.detail)
            }
            // Repeating the same compare-and-swap is safe: if one has succeeded, the conflict returns its value.
            delay(backoff)
            backoff *= 2
        }
        return failed(ErrorKind.SUBMISSION_UNKNOWN, "submission ${document.submission}")
    }

    private fun afterConflict(document: AcceptedDocument, current: StoredValue?): SubmissionResult {
        val envelope =
            current?.let { DocumentEnvelope.decode(it.bytes) }
                ?: return failed(ErrorKind.SUBMISSION_UNKNOWN, "the stored document is missing or malformed")
        return resultFrom(document, envelope, isRepeat = true)
    }

    /** Determines from the submission ids in [envelope] whether this submission was accepted. */
    private fun resultFrom(
        document: AcceptedDocument,
        envelope: DocumentEnvelope,
        isRepeat: Boolean,
    ): SubmissionResult {
        val recorded = envelope.submissionOf(document.revision)
        return when {
            recorded == document.submission -> SubmissionResult.Accepted(document)
            recorded == null && isRepeat ->
                failed(ErrorKind.SUBMISSION_UNKNOWN, "the current revision is ${envelope.revision}")
            else -> SubmissionResult.Raced(envelope.submission, envelope.revision)
        }
    }

    private fun earlierSubmissionsOf(document: AcceptedDocument, envelope: DocumentEnvelope?): List<String> =
        if (envelope == null || envelope.revision.value + 1 != document.revision.value) {
            emptyList()
        } else {
            (listOf(envelope.submission) + envelope.earlier).take(DocumentEnvelope.MAXIMUM_EARLIER_SUBMISSIONS)
        }

    /** The first check makes the node poll the fleet. The replies take a round trip. */
    private suspend fun awaitMajority(): Boolean {
        val deadline = clock().plusMilliseconds(MAJORITY_TIMEOUT_MILLISECONDS)
        while (!isConnectedWithMajority()) {
            if (clock() >= deadline) return false
            delay(NodeEvent.TICK_MILLISECONDS)
        }
        return true
    }

    private fun callDeadline(deadline: Timestamp): Timestamp =
        minOf(deadline, clock().plusMilliseconds(CALL_TIMEOUT_MILLISECONDS))

    private fun noMajority() = failed(ErrorKind.DOCUMENT_MINORITY, "")

    private fun tooLarge(bytes: Int) = SubmissionResult.Invalid(
        listOf(
            ConfigurationError(
                line = 0,
                section = "",
                key = null,
                problem = "the document has $bytes bytes in its stored form",
                allowed = "at most ${DocumentEnvelope.MAXIMUM_BYTES} bytes",
            ),
        ),
    )

    private fun failed(kind: ErrorKind, detail: String) = SubmissionResult.Failed(Failure(kind, detail))

    private fun logged(result: SubmissionResult, submission: String): SubmissionResult {
        val failure = result.failure
        val event =
            when (failure?.kind) {
                null -> ConfigurationLogEvent.SUBMISSION_ACCEPTED
                ErrorKind.SUBMISSION_UNKNOWN -> ConfigurationLogEvent.SUBMISSION_UNKNOWN
                else -> ConfigurationLogEvent.SUBMISSION_REFUSED
            }
        log.write(event, "submission" to submission, "kind" to failure?.kind, "detail" to failure?.detail)
        return result
    }

    private companion object {
        val log = EventLog("azuredale.configuration")

        /** Kept short because an operator waits for the result in the console. */
        const val SUBMISSION_TIMEOUT_MILLISECONDS = 5_000L
        const val CALL_TIMEOUT_MILLISECONDS = 1_000L
        const val MAJORITY_TIMEOUT_MILLISECONDS = 800L
        const val PUSH_TIMEOUT_MILLISECONDS = 1_000L
        const val INITIAL_BACKOFF_MILLISECONDS = 50L
    }
}
