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
    public fun parse(text: String): ParseResult<Document> {
        if (text.length > MAXIMUM_CHARACTERS) return ParseResult.Invalid(listOf(tooLong(text)))
        return read(text) { sections, document, errors -> DocumentReferenceCheck(sections, document, errors).check() }
    }

    /** Parses a draft: checks each section, but not the references between sections. */
    internal fun parseDraft(text: String): ParseResult<Document> =
        if (text.length > MAXIMUM_CHARACTERS) ParseResult.Invalid(listOf(tooLong(text))) else read(text) { _, _, _ -> }

    private fun read(
        text: String,
        check: (Map<SectionSchema, List<SectionReader>>, Document, MutableList<ConfigurationError>) -> Unit,
    ): ParseResult<Document> {
        val ini = IniReader.read(text)
        val errors = ini.errors.toMutableList()
        val sections = SectionReader.open(ini, DocumentSchema.sections, errors)
        val document = DocumentReader(sections).read()
        check(sections, document, errors)
        return if (errors.isEmpty()) ParseResult.Valid(document) else ParseResult.Invalid(errors.sortedBy { it.line })
    }

    private fun tooLong(text: String) = ConfigurationError(
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
private class DocumentReader(private val sections: Map<SectionSchema, List<SectionReader>>) {
    fun read() = Document(
        failureDomains =
            each(DocumentSchema.failureDomains) {
                FailureDomain(it.name) to (it[DocumentSchema.region] ?: Region(""))
            },
        teams = each(DocumentSchema.teams) { TeamId(it.name) to team(it) },
        pools = each(DocumentSchema.poolSections) { PoolId(it.name) to pool(it) },
        servers =
            each(DocumentSchema.servers) { section ->
                server(section)?.let { ServerId(section.name) to it }
            },
        modelVersions =
            each(DocumentSchema.versionSections) {
                val entry = ModelVersionEntry(ModelVersion(it.name), it[DocumentSchema.batch])
                entry.id to entry.copy(isRetired = it[DocumentSchema.retired] ?: entry.isRetired)
            },
        adapters =
            each(DocumentSchema.adapterSections) {
                val entry = AdapterEntry(AdapterName(it.name), it[DocumentSchema.batch])
                entry.id to entry.copy(isRetired = it[DocumentSchema.retired] ?: entry.isRetired)
            },
        recalls =
            each(DocumentSchema.recalls) {
                BatchId(it.name) to Recall(BatchId(it.name), it[DocumentSchema.reason].orEmpty())
            },
        objectives = each(DocumentSchema.objectives) { PoolId(it.name) to objective(it) },
    )

    private fun <K, V> each(schema: SectionSchema, read: (SectionReader) -> Pair<K, V>?): Map<K, V> =
        sections[schema].orEmpty().mapNotNull(read).toMap()

    private fun team(section: SectionReader) = Team(
        id = TeamId(section.name),
        share = section[DocumentSchema.share] ?: 1.0,
        pools = section[DocumentSchema.pools].orEmpty().toSet(),
    )

    private fun pool(section: SectionReader): Pool {
        val pool = Pool(PoolId(section.name), section[DocumentSchema.kind] ?: PoolKind.MODEL)
        return pool.copy(
            shards = section[DocumentSchema.shards] ?: pool.shards,
            initialCost = section[DocumentSchema.initialCost] ?: pool.initialCost,
        )
    }

    private fun server(section: SectionReader): BackendServer? {
        val pool = section[DocumentSchema.pool]
        val address = section[DocumentSchema.address]
        val failureDomain = section[DocumentSchema.failureDomain]
        val slots = section[DocumentSchema.slots]
        val batch = section[DocumentSchema.batch]
        val state = section[DocumentSchema.state]
        val modelVersions = section[DocumentSchema.modelVersions]
        val adapters = section[DocumentSchema.adapters]
        val checksFencing = section[DocumentSchema.checksFencing]
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
            firstTokenMilliseconds = section[DocumentSchema.firstToken] ?: objective.firstTokenMilliseconds,
            betweenTokensMilliseconds = section[DocumentSchema.betweenTokens] ?: objective.betweenTokensMilliseconds,
            percent = section[DocumentSchema.percent] ?: objective.percent,
        )
    }
}
