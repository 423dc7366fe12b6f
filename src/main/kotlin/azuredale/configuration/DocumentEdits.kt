package azuredale.configuration

import azuredale.identity.BatchId

/** Common changes to documents. */
public object DocumentEdits {
    /** Returns [document] with a recall of [batch] added, or the errors in the result. */
    public fun withRecall(document: Document, batch: BatchId, reason: String): ParseResult<Document> {
        // Checked first, since a line break in the reason could inject sections into the text.
        if (DocumentSchema.isReason(reason) && ValueParsers.name(batch.name) != null) {
            return validated(document.copy(recalls = document.recalls + (batch to Recall(batch, reason))))
        }
        val allowed = "a batch of ${ValueParsers.NAME_ALLOWED}; a reason of ${DocumentSchema.reason.allowed}"
        val key = DocumentSchema.reason.name
        return ParseResult.Invalid(listOf(ConfigurationError(0, "recall", key, "the recall is not allowed", allowed)))
    }

    /** Returns [document] without the recall of [batch]. */
    public fun withoutRecall(document: Document, batch: BatchId): Document =
        document.copy(recalls = document.recalls - batch)

    /** Returns [document] if it is valid, otherwise its errors. */
    public fun validated(document: Document): ParseResult<Document> =
        DocumentParser.parse(DocumentWriter.write(document))
}
