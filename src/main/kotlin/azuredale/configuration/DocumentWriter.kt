package azuredale.configuration

/** Formats a document as canonical INI text, which parses to an equal document. */
public object DocumentWriter {
    /** Writes sections grouped by kind in a fixed order, each group in document order. Omits default values. */
    public fun write(document: Document): String = buildString {
        document.failureDomains.forEach { (domain, region) ->
            section(DocumentSchema.failureDomains, domain.name, DocumentSchema.region to region.name)
        }
        document.pools.values.forEach { pool(it) }
        document.modelVersions.values.forEach {
            retirable(DocumentSchema.versionSections, it.id.name, it.batch?.name, it.isRetired)
        }
        document.adapters.values.forEach {
            retirable(DocumentSchema.adapterSections, it.id.name, it.batch?.name, it.isRetired)
        }
        document.servers.values.forEach { server(it) }
        document.teams.values.forEach { team(it) }
        document.recalls.values.forEach {
            section(DocumentSchema.recalls, it.batch.name, DocumentSchema.reason to "\"${it.reason}\"")
        }
        document.objectives.values.forEach { objective(it) }
    }

    private fun StringBuilder.pool(pool: Pool) {
        val default = Pool(pool.id, pool.kind)
        section(
            DocumentSchema.poolSections,
            pool.id.name,
            DocumentSchema.kind to pool.kind.name.lowercase(),
            DocumentSchema.shards to pool.shards.takeIf { it != default.shards },
            DocumentSchema.initialCost to pool.initialCost.takeIf { it != default.initialCost }?.let(::formatNumber),
        )
    }

    private fun StringBuilder.server(server: BackendServer) = section(
        DocumentSchema.servers,
        server.id.name,
        DocumentSchema.pool to server.pool,
        DocumentSchema.address to server.address,
        DocumentSchema.failureDomain to server.failureDomain,
        DocumentSchema.slots to server.slots,
        DocumentSchema.batch to server.batch,
        DocumentSchema.state to
            server.state
                .takeIf { it != ServerState.ACTIVE }
                ?.name
                ?.lowercase(),
        DocumentSchema.modelVersions to formatList(server.modelVersions),
        DocumentSchema.adapters to formatList(server.adapters),
        DocumentSchema.checksFencing to "yes".takeIf { server.checksFencing },
    )

    private fun StringBuilder.team(team: Team) = section(
        DocumentSchema.teams,
        team.id.name,
        DocumentSchema.share to formatNumber(team.share),
        DocumentSchema.pools to formatList(team.pools),
    )

    private fun StringBuilder.retirable(schema: SectionSchema, name: String, batch: String?, isRetired: Boolean) =
        section(schema, name, DocumentSchema.batch to batch, DocumentSchema.retired to "yes".takeIf { isRetired })

    private fun StringBuilder.objective(objective: Objective) = section(
        DocumentSchema.objectives,
        objective.pool.name,
        DocumentSchema.firstToken to "${objective.firstTokenMilliseconds} ms",
        DocumentSchema.betweenTokens to "${objective.betweenTokensMilliseconds} ms",
        DocumentSchema.percent to formatNumber(objective.percent),
    )

    private fun StringBuilder.section(schema: SectionSchema, name: String, vararg entries: Pair<KeySchema<*>, Any?>) {
        if (isNotEmpty()) append('\n')
        append("[${schema.kind} $name]\n")
        entries.forEach { (key, value) -> if (value != null) append("${key.name} = $value\n") }
    }

    private fun formatList(names: Collection<Any>): String? = names.joinToString().ifEmpty { null }

    private fun formatNumber(number: Double): String = number.toBigDecimal().stripTrailingZeros().toPlainString()
}
