package azuredale.configuration

import azuredale.identity.PoolId
import azuredale.identity.ServerId

/** Validates references between the sections of a document, and the number of sections. */
internal class DocumentReferenceCheck(
    private val sections: Map<SectionSchema, List<SectionReader>>,
    private val document: Document,
    private val errors: MutableList<ConfigurationError>,
) {
    private val pools = document.pools.keys
    private val batches = batchesInUse()

    fun check() {
        sizes()
        each(DocumentSchema.teams) { section ->
            val named = section.valueOf(DocumentSchema.pools).orEmpty()
            named.filter { it !in pools }.forEach { undefined(section, DocumentSchema.pools, "pool $it") }
        }
        each(DocumentSchema.servers, ::server)
        each(DocumentSchema.objectives) { section ->
            if (PoolId(section.name) !in pools) section.reportError("pool ${section.name} is not defined", poolNames())
        }
        each(DocumentSchema.recalls) { section ->
            if (section.name !in batches) {
                section.reportError("no server, model version or adapter has the batch ${section.name}", batchNames())
            }
        }
        duplicateAddresses()
    }

    private fun server(section: SectionReader) {
        val pool = section.valueOf(DocumentSchema.pool)
        if (pool != null && pool !in pools) undefined(section, DocumentSchema.pool, "pool $pool")
        val failureDomain = section.valueOf(DocumentSchema.failureDomain)
        if (failureDomain != null && failureDomain !in document.failureDomains) {
            undefined(section, DocumentSchema.failureDomain, "failure domain $failureDomain")
        }
        section
            .valueOf(DocumentSchema.modelVersions)
            .orEmpty()
            .filter { it !in document.modelVersions }
            .forEach { undefined(section, DocumentSchema.modelVersions, "model version $it") }
        section
            .valueOf(DocumentSchema.adapters)
            .orEmpty()
            .filter { it !in document.adapters }
            .forEach { undefined(section, DocumentSchema.adapters, "adapter $it") }
        if (document.pools[pool]?.kind == PoolKind.SERVICE) modelKeysOfService(section)
    }

    private fun modelKeysOfService(section: SectionReader) {
        listOf(DocumentSchema.modelVersions, DocumentSchema.adapters).filter(section::has).forEach { key ->
            section.reportError(
                key,
                "the pool of the server is of kind service",
                "${key.name} only in a pool of kind model",
            )
        }
    }

    private fun sizes() {
        if (pools.isEmpty()) {
            errors += ConfigurationError(0, "", null, "the document defines no pool", "at least one [pool NAME]")
        }
        atMost(DocumentSchema.servers, DocumentSchema.MAXIMUM_SERVERS)
        atMost(DocumentSchema.teams, DocumentSchema.MAXIMUM_TEAMS)
        atMost(DocumentSchema.poolSections, DocumentSchema.MAXIMUM_POOLS)
    }

    private fun atMost(schema: SectionSchema, maximum: Int) {
        val found = sections[schema].orEmpty()
        if (found.size > maximum) {
            found[maximum].reportError("the document has ${found.size} sections [${schema.header}]", "at most $maximum")
        }
    }

    private fun duplicateAddresses() {
        val first = HashMap<Any, ServerId>()
        each(DocumentSchema.servers) { section ->
            val address = section.valueOf(DocumentSchema.address) ?: return@each
            val earlier = first.putIfAbsent(address, ServerId(section.name))
            if (earlier != null) {
                section.reportError(DocumentSchema.address, "server $earlier has the same address", "a unique address")
            }
        }
    }

    private fun batchesInUse(): Set<String> =
        listOf(DocumentSchema.servers, DocumentSchema.versionSections, DocumentSchema.adapterSections)
            .flatMap { sections[it].orEmpty() }
            .mapNotNull { it.valueOf(DocumentSchema.batch)?.name }
            .toSet()

    private fun undefined(section: SectionReader, key: KeySchema<*>, what: String) {
        section.reportError(key, "$what is not defined", "a name that has its own section")
    }

    private fun poolNames() = pools.joinToString { it.name }.ifEmpty { "a defined pool" }

    private fun batchNames() = batches.sorted().joinToString().ifEmpty { "a batch in use" }

    private fun each(schema: SectionSchema, action: (SectionReader) -> Unit) =
        sections[schema].orEmpty().forEach(action)
}
