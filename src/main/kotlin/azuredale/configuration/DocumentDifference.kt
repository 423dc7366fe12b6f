package azuredale.configuration

/**
 * One change between two documents.
 *
 * @property section header of the section, such as `server engine-1`.
 * @property key the changed key, or null when the whole section was added or removed.
 * @property before the earlier value, null when there was none; a key at its default has none.
 * @property after the later value, null when there is none.
 */
public data class DocumentChange(
    val section: String,
    val key: String?,
    val before: String?,
    val after: String?,
) {
    override fun toString(): String {
        val place = if (key == null) "[$section]" else "[$section] $key"
        return when {
            before == null && after == null -> place
            before == null -> "$place: added${after.shown()}"
            after == null -> "$place: removed${before.shown()}"
            else -> "$place: $before -> $after"
        }
    }

    private fun String?.shown() = if (isNullOrEmpty()) "" else " $this"
}

/** Lists what changed between two documents, for operators. */
public object DocumentDifference {
    /** Changes from [before] to [after]: sections of [before] in order, then added sections in the order of [after]. */
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

    /** The canonical form has each value in one spelling, so comparing it compares values. */
    private fun sectionsOf(document: Document): Map<String, Map<String, String>> = IniReader
        .read(DocumentWriter.write(document))
        .sections
        .associate { section -> section.header to section.entries.mapValues { it.value.value } }
}
