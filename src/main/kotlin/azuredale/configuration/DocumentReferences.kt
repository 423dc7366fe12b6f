package azuredale.configuration

import azuredale.identity.PoolId
import azuredale.identity.ServerId

/** Validates references between the sections of a document, and the number of sections. */
internal class DocumentReferences(
    private val sections: Map<SectionRule, List<SectionReader>>,
    private val document: Document,
    private val faults: MutableList<ConfigurationFault>,
) {
    private val pools = document.pools.keys
    private val batches = batchesInUse()

    fun check() {
        sizes()
        each(DocumentKeys.teams) { section ->
            val named = section.valueOf(DocumentKeys.pools).orEmpty()
            named.filter { it !in pools }.forEach { undefined(section, DocumentKeys.pools, "pool $it") }
        }
        each(DocumentKeys.servers, ::server)
        each(DocumentKeys.objectives) { section ->
            if (PoolId(section.name) !in pools) section.fault("pool ${section.name} is not defined", poolNames())
        }
        each(DocumentKeys.recalls) { section ->
            if (section.name !in batches) {
                section.fault("no server, model version or adapter has the batch ${section.name}", batchNames())
            }
        }
        duplicateAddresses()
    }

    private fun server(section: SectionReader) {
        val pool = section.valueOf(DocumentKeys.pool)
        if (pool != null && pool !in pools) undefined(section, DocumentKeys.pool, "pool $pool")
        val failureDomain = section.valueOf(DocumentKeys.failureDomain)
        if (failureDomain != null && failureDomain !in document.failureDomains) {
            undefined(section, DocumentKeys.failureDomain, "failure domain $failureDomain")
        }
        section
            .valueOf(DocumentKeys.modelVersions)
            .orEmpty()
            .filter { it !in document.modelVersions }
            .forEach { undefined(section, DocumentKeys.modelVersions, "model version $it") }
        section
            .valueOf(DocumentKeys.adapters)
            .orEmpty()
            .filter { it !in document.adapters }
            .forEach { undefined(section, DocumentKeys.adapters, "adapter $it") }
        if (document.pools[pool]?.kind == PoolKind.SERVICE) modelKeysOfService(section)
    }

    private fun modelKeysOfService(section: SectionReader) {
        listOf(DocumentKeys.modelVersions, DocumentKeys.adapters).filter(section::has).forEach { key ->
            section.fault(key, "the pool of the server is of kind service", "${key.name} only in a pool of kind model")
        }
    }

    private fun sizes() {
        if (pools.isEmpty()) {
            faults += ConfigurationFault(0, "", null, "the document defines no pool", "at least one [pool NAME]")
        }
        atMost(DocumentKeys.servers, DocumentKeys.MAXIMUM_SERVERS)
        atMost(DocumentKeys.teams, DocumentKeys.MAXIMUM_TEAMS)
        atMost(DocumentKeys.poolSections, DocumentKeys.MAXIMUM_POOLS)
    }

    private fun atMost(rule: SectionRule, maximum: Int) {
        val found = sections[rule].orEmpty()
        if (found.size > maximum) {
            found[maximum].fault("the document has ${found.size} sections [${rule.header}]", "at most $maximum")
        }
    }

    private fun duplicateAddresses() {
        val first = HashMap<Any, ServerId>()
        each(DocumentKeys.servers) { section ->
            val address = section.valueOf(DocumentKeys.address) ?: return@each
            val earlier = first.putIfAbsent(address, ServerId(section.name))
            if (earlier != null) {
                section.fault(DocumentKeys.address, "server $earlier has the same address", "a unique address")
            }
        }
    }

    private fun batchesInUse(): Set<String> =
        listOf(DocumentKeys.servers, DocumentKeys.versionSections, DocumentKeys.adapterSections)
            .flatMap { sections[it].orEmpty() }
            .mapNotNull { it.valueOf(DocumentKeys.batch)?.name }
            .toSet()

    private fun undefined(section: SectionReader, key: Key<*>, what: String) {
        section.fault(key, "$what is not defined", "a name that has its own section")
    }

    private fun poolNames() = pools.joinToString { it.name }.ifEmpty { "a defined pool" }

    private fun batchNames() = batches.sorted().joinToString().ifEmpty { "a batch in use" }

    private fun each(rule: SectionRule, action: (SectionReader) -> Unit) = sections[rule].orEmpty().forEach(action)
}
