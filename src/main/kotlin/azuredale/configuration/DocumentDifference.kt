package azuredale.configuration

/**
 * One change between two documents.
 *
 * @property section section header without brackets, such as `server engine-1`.
 * @property key the changed key, or null if the whole section was added or removed.
 * @property before previous value, or null if there was none. A key with its default value counts as absent.
 * @property after new value, or null if there is none.
 */
public data class DocumentChange(
    val section: String,
    val key: String?,
    val before: String?,
    val after: String?,
) {
    override fun toString(): String {
        val location = if (key == null) "[$section]" else "[$section] $key"
        return when {
            before == null && after == null -> location
            before == null -> "$location: added${after.shown()}"
            after == null -> "$location: removed${before.shown()}"
            else -> "$location: $before -> $after"
        }
    }

    private fun String?.shown() = if (isNullOrEmpty()) "" else " $this"
}

/** Computes the changes between two documents, for display to operators. */
public object DocumentDifference {
    /** Changes from [before] to [after]: first sections of [before], then added sections, each in document order. */
    public fun between(before: Document, after: Document): List<DocumentChange> {
        val old = sectionsOf(before)
        val new = sectionsOf(after)
        val changed =
            old.flatMap { (header, keys) ->
                val later = new[header]
                if (later == null) listOf(DocumentChange(header, null, "", null)) else keysBetween(header, keys, later)
            }
        val added = new.keys.filter { it !in old }.map { DocumentChange(it, null, null, "") }
        return changed + added
    }

    private fun keysBetween(header: String, old: Map<String, String>, new: Map<String, String>) = (old.keys + new.keys)
        .filter { old[it] != new[it] }
        .map { DocumentChange(header, it, old[it], new[it]) }

    /** Uses the canonical text, which writes equal values identically, so that texts can be compared. */
    private fun sectionsOf(document: Document): Map<String, Map<String, String>> = IniReader
        .read(DocumentWriter.write(document))
        .sections
        .associate { section -> section.header to section.entries.mapValues { it.value.value } }
}
