package azuredale.configuration

import azuredale.identity.BatchId

/** Changes to documents that operators make often. */
public object Documents {
    /** Returns [document] with a recall of [batch], or the faults of that change. */
    public fun withRecall(document: Document, batch: BatchId, reason: String): Parsed<Document> {
        // Checked before writing, since a line break in the reason could add sections to the text.
        if (DocumentKeys.isReason(reason) && Formats.name(batch.name) != null) {
            return checked(document.copy(recalls = document.recalls + (batch to Recall(batch, reason))))
        }
        val allowed = "a batch of ${Formats.NAME_ALLOWED}; a reason of ${DocumentKeys.reason.allowed}"
        val key = DocumentKeys.reason.name
        return Parsed.Invalid(listOf(ConfigurationFault(0, "recall", key, "the recall is not allowed", allowed)))
    }

    /** Returns [document] without the recall of [batch]. */
    public fun withoutRecall(document: Document, batch: BatchId): Document =
        document.copy(recalls = document.recalls - batch)

    /** Returns [document] when its text form has no fault, otherwise the faults. */
    public fun checked(document: Document): Parsed<Document> = DocumentParser.parse(DocumentWriter.write(document))
}
