package azuredale.configuration

/** Formats a document as canonical INI text, which parses to an equal document. */
public object DocumentWriter {
    /** Writes sections grouped by kind in a fixed order, each group in document order. Omits default values. */
    public fun write(document: Document): String = buildString {
        document.failureDomains.forEach { (domain, region) ->
            section(DocumentKeys.failureDomains, domain.name, DocumentKeys.region to region.name)
        }
        document.pools.values.forEach { pool(it) }
        document.modelVersions.values.forEach {
            part(DocumentKeys.versionSections, it.id.name, it.batch?.name, it.isRetired)
        }
        document.adapters.values.forEach {
            part(DocumentKeys.adapterSections, it.id.name, it.batch?.name, it.isRetired)
        }
        document.servers.values.forEach { server(it) }
        document.teams.values.forEach { team(it) }
        document.recalls.values.forEach {
            section(DocumentKeys.recalls, it.batch.name, DocumentKeys.reason to "\"${it.reason}\"")
        }
        document.objectives.values.forEach { objective(it) }
    }

    private fun StringBuilder.pool(pool: Pool) {
        val default = Pool(pool.id, pool.kind)
        section(
            DocumentKeys.poolSections,
            pool.id.name,
            DocumentKeys.kind to pool.kind.name.lowercase(),
            DocumentKeys.shards to pool.shards.takeIf { it != default.shards },
            DocumentKeys.initialCost to pool.initialCost.takeIf { it != default.initialCost }?.let(::plain),
        )
    }

    private fun StringBuilder.server(server: BackendServer) = section(
        DocumentKeys.servers,
        server.id.name,
        DocumentKeys.pool to server.pool,
        DocumentKeys.address to server.address,
        DocumentKeys.failureDomain to server.failureDomain,
        DocumentKeys.slots to server.slots,
        DocumentKeys.batch to server.batch,
        DocumentKeys.state to
            server.state
                .takeIf { it != ServerState.ACTIVE }
                ?.name
                ?.lowercase(),
        DocumentKeys.modelVersions to list(server.modelVersions),
        DocumentKeys.adapters to list(server.adapters),
        DocumentKeys.checksFencing to "yes".takeIf { server.checksFencing },
    )

    private fun StringBuilder.team(team: Team) = section(
        DocumentKeys.teams,
        team.id.name,
        DocumentKeys.share to plain(team.share),
        DocumentKeys.pools to list(team.pools),
    )

    private fun StringBuilder.part(rule: SectionRule, name: String, batch: String?, isRetired: Boolean) =
        section(rule, name, DocumentKeys.batch to batch, DocumentKeys.retired to "yes".takeIf { isRetired })

    private fun StringBuilder.objective(objective: Objective) = section(
        DocumentKeys.objectives,
        objective.pool.name,
        DocumentKeys.firstToken to "${objective.firstTokenMilliseconds} ms",
        DocumentKeys.betweenTokens to "${objective.betweenTokensMilliseconds} ms",
        DocumentKeys.percent to plain(objective.percent),
    )

    private fun StringBuilder.section(rule: SectionRule, name: String, vararg entries: Pair<Key<*>, Any?>) {
        if (isNotEmpty()) append('\n')
        append("[${rule.kind} $name]\n")
        entries.forEach { (key, value) -> if (value != null) append("${key.name} = $value\n") }
    }

    private fun list(names: Collection<Any>): String? = names.joinToString().ifEmpty { null }

    private fun plain(number: Double): String = number.toBigDecimal().stripTrailingZeros().toPlainString()
}
