package azuredale.console

import azuredale.configuration.Document

/**
 * Result of merging an operator's draft into a newer document.
 *
 * @property conflicts entries changed to different values in draft and newer document; the draft's value is kept.
 */
internal class MergedDraft(
    val document: Document,
    val conflicts: List<String>,
)

/** Three-way merge: applies the changes between [base] and [draft] to [newer], entry by entry. */
internal fun mergeDraft(base: Document, draft: Document, newer: Document): MergedDraft {
    val conflicts = mutableListOf<String>()

    fun <K : Any, V : Any> merge(kind: String, entries: (Document) -> Map<K, V>): Map<K, V> {
        val result = LinkedHashMap(entries(newer))
        (entries(base).keys + entries(draft).keys).forEach { key ->
            val before = entries(base)[key]
            val own = entries(draft)[key]
            val other = entries(newer)[key]
            if (own != before) {
                if (other != before && other != own) conflicts += "$kind $key"
                if (own == null) result.remove(key) else result[key] = own
            }
        }
        return result
    }
    val merged =
        Document(
            failureDomains = merge("failure domain") { it.failureDomains },
            teams = merge("team") { it.teams },
            pools = merge("pool") { it.pools },
            servers = merge("server") { it.servers },
            modelVersions = merge("model version") { it.modelVersions },
            adapters = merge("adapter") { it.adapters },
            recalls = merge("recall") { it.recalls },
            objectives = merge("objective") { it.objectives },
        )
    return MergedDraft(merged, conflicts)
}
