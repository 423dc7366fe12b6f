package azuredale.configuration

import azuredale.identity.AdapterName
import azuredale.identity.BatchId
import azuredale.identity.FailureDomain
import azuredale.identity.ModelVersion
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.ServerId
import azuredale.identity.TeamId

/**
 * Parses documents in INI format. docs/document.md lists the sections and keys.
 *
 * ```
 * val parsed = DocumentParser.parse("[failure-domain south-a]\nregion = south\n...")
 * ```
 */
public object DocumentParser {
    /** Returns the document, or all errors in [text]. */
    public fun parse(text: String): Parsed<Document> {
        if (text.length > MAXIMUM_CHARACTERS) return Parsed.Invalid(listOf(tooLong(text)))
        return read(text) { sections, document, faults -> DocumentReferences(sections, document, faults).check() }
    }

    /** Parses a draft: checks each section, but not the references between sections. */
    internal fun parseDraft(text: String): Parsed<Document> =
        if (text.length > MAXIMUM_CHARACTERS) Parsed.Invalid(listOf(tooLong(text))) else read(text) { _, _, _ -> }

    private fun read(
        text: String,
        check: (Map<SectionRule, List<SectionReader>>, Document, MutableList<ConfigurationFault>) -> Unit,
    ): Parsed<Document> {
        val ini = IniReader.read(text)
        val faults = ini.faults.toMutableList()
        val sections = SectionReader.open(ini, DocumentKeys.sections, faults)
        val document = DocumentReader(sections).read()
        check(sections, document, faults)
        return if (faults.isEmpty()) Parsed.Valid(document) else Parsed.Invalid(faults.sortedBy { it.line })
    }

    private fun tooLong(text: String) = ConfigurationFault(
        line = 0,
        section = "",
        key = null,
        problem = "the document has ${text.length} characters",
        allowed = "at most $MAXIMUM_CHARACTERS characters",
    )

    /** The key-value service stores values of up to 1 MB, and the envelope needs the rest. */
    internal const val MAXIMUM_CHARACTERS: Int = 900_000
}

/**
 * Builds a document from its sections.
 *
 * Most invalid sections still produce an entry with placeholder values. Otherwise, an error in a section would also be
 * reported at every reference to it. The parser never returns a document with placeholders.
 */
private class DocumentReader(private val sections: Map<SectionRule, List<SectionReader>>) {
    fun read() = Document(
        failureDomains =
            each(DocumentKeys.failureDomains) {
                FailureDomain(it.name) to (it[DocumentKeys.region] ?: Region(""))
            },
        teams = each(DocumentKeys.teams) { TeamId(it.name) to team(it) },
        pools = each(DocumentKeys.poolSections) { PoolId(it.name) to pool(it) },
        servers =
            each(DocumentKeys.servers) { section ->
                server(section)?.let { ServerId(section.name) to it }
            },
        modelVersions =
            each(DocumentKeys.versionSections) {
                val entry = ModelVersionEntry(ModelVersion(it.name), it[DocumentKeys.batch])
                entry.id to entry.copy(isRetired = it[DocumentKeys.retired] ?: entry.isRetired)
            },
        adapters =
            each(DocumentKeys.adapterSections) {
                val entry = AdapterEntry(AdapterName(it.name), it[DocumentKeys.batch])
                entry.id to entry.copy(isRetired = it[DocumentKeys.retired] ?: entry.isRetired)
            },
        recalls =
            each(DocumentKeys.recalls) {
                BatchId(it.name) to Recall(BatchId(it.name), it[DocumentKeys.reason].orEmpty())
            },
        objectives = each(DocumentKeys.objectives) { PoolId(it.name) to objective(it) },
    )

    private fun <K, V> each(rule: SectionRule, read: (SectionReader) -> Pair<K, V>?): Map<K, V> =
        sections[rule].orEmpty().mapNotNull(read).toMap()

    private fun team(section: SectionReader) = Team(
        id = TeamId(section.name),
        share = section[DocumentKeys.share] ?: 1.0,
        pools = section[DocumentKeys.pools].orEmpty().toSet(),
    )

    private fun pool(section: SectionReader): Pool {
        val pool = Pool(PoolId(section.name), section[DocumentKeys.kind] ?: PoolKind.MODEL)
        return pool.copy(
            shards = section[DocumentKeys.shards] ?: pool.shards,
            initialCost = section[DocumentKeys.initialCost] ?: pool.initialCost,
        )
    }

    private fun server(section: SectionReader): BackendServer? {
        val pool = section[DocumentKeys.pool]
        val address = section[DocumentKeys.address]
        val failureDomain = section[DocumentKeys.failureDomain]
        val slots = section[DocumentKeys.slots]
        val batch = section[DocumentKeys.batch]
        val state = section[DocumentKeys.state]
        val modelVersions = section[DocumentKeys.modelVersions]
        val adapters = section[DocumentKeys.adapters]
        val checksFencing = section[DocumentKeys.checksFencing]
        val server =
            BackendServer(
                id = ServerId(section.name),
                pool = pool ?: return null,
                address = address ?: return null,
                failureDomain = failureDomain ?: return null,
                slots = slots ?: return null,
                batch = batch,
            )
        return server.copy(
            state = state ?: server.state,
            modelVersions = modelVersions?.toSet() ?: server.modelVersions,
            adapters = adapters?.toSet() ?: server.adapters,
            checksFencing = checksFencing ?: server.checksFencing,
        )
    }

    private fun objective(section: SectionReader): Objective {
        val objective = Objective(PoolId(section.name))
        return objective.copy(
            firstTokenMilliseconds = section[DocumentKeys.firstToken] ?: objective.firstTokenMilliseconds,
            betweenTokensMilliseconds = section[DocumentKeys.betweenTokens] ?: objective.betweenTokensMilliseconds,
            percent = section[DocumentKeys.percent] ?: objective.percent,
        )
    }
}
