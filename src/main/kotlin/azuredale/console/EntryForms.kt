package azuredale.console

import azuredale.configuration.AdapterEntry
import azuredale.configuration.BackendServer
import azuredale.configuration.ModelVersionEntry
import azuredale.configuration.Objective
import azuredale.configuration.Pool
import azuredale.configuration.PoolKind
import azuredale.configuration.Recall
import azuredale.configuration.ServerState
import azuredale.configuration.Team
import azuredale.identity.AdapterName
import azuredale.identity.BatchId
import azuredale.identity.FailureDomain
import azuredale.identity.ModelVersion
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.ServerId
import azuredale.identity.TeamId

/** Forms of the web console, one for each kind of document entry. */
internal object EntryForms {
    private const val MAXIMUM_SHARDS = 64
    private const val MAXIMUM_SLOTS = 4_096
    private const val MAXIMUM_MILLISECONDS = 600_000
    private const val MAXIMUM_PERCENT = 100
    private val yesOrNo = listOf("no", "yes")
    private val states = ServerState.entries.map { it.name.lowercase() }
    private val kinds = PoolKind.entries.map { it.name.lowercase() }

    private val team =
        EntryForm(
            kind = "team",
            title = "Teams and shares",
            fields =
                listOf(
                    FormField("id", "Team"),
                    FormField("share", "Share", "weight, greater than 0"),
                    FormField("pools", "Pools", "separated by commas"),
                ),
            rows = { document ->
                document.teams.values.map {
                    mapOf("id" to it.id.name, "share" to it.share.toString(), "pools" to it.pools.joinToString(", "))
                }
            },
            putEntry = { document, form ->
                val id = TeamId(form.name("id"))
                val pools = form.names("pools").map(::PoolId).toSet()
                document.copy(teams = document.teams + (id to Team(id, form.positiveNumber("share"), pools)))
            },
            removeEntry = { document, key -> document.copy(teams = document.teams - TeamId(key)) },
        )

    private val pool =
        EntryForm(
            kind = "pool",
            title = "Pools",
            fields =
                listOf(
                    FormField("id", "Pool"),
                    FormField("kind", "Kind", choices = kinds),
                    FormField("shards", "Shards"),
                    FormField("cost", "Initial cost", "estimate in tokens or calls"),
                ),
            rows = { document ->
                document.pools.values.map {
                    mapOf(
                        "id" to it.id.name,
                        "kind" to it.kind.name.lowercase(),
                        "shards" to it.shards.toString(),
                        "cost" to it.initialCost.toString(),
                    )
                }
            },
            putEntry = { document, form ->
                val id = PoolId(form.name("id"))
                val kind = PoolKind.valueOf(form.choice("kind", kinds).uppercase())
                val entry = Pool(id, kind, form.wholeNumber("shards", 1..MAXIMUM_SHARDS), form.positiveNumber("cost"))
                document.copy(pools = document.pools + (id to entry))
            },
            removeEntry = { document, key -> document.copy(pools = document.pools - PoolId(key)) },
        )

    private val server =
        EntryForm(
            kind = "server",
            title = "Backend servers and batches",
            fields =
                listOf(
                    FormField("id", "Server"),
                    FormField("pool", "Pool"),
                    FormField("address", "Address", "IPv4 address and port"),
                    FormField("domain", "Failure domain"),
                    FormField("slots", "Slots"),
                    FormField("batch", "Batch", "may be empty"),
                    FormField("state", "State", choices = states),
                    FormField("versions", "Model versions", "separated by commas"),
                    FormField("adapters", "Adapters", "separated by commas"),
                    FormField("fencing", "Checks fencing", choices = yesOrNo),
                ),
            rows = { document -> document.servers.values.map(::serverRow) },
            putEntry = { document, form ->
                val entry = readServer(form)
                document.copy(servers = document.servers + (entry.id to entry))
            },
            removeEntry = { document, key -> document.copy(servers = document.servers - ServerId(key)) },
        )

    private val recall =
        EntryForm(
            kind = "recall",
            title = "Recalls",
            fields = listOf(FormField("id", "Batch"), FormField("reason", "Reason", "shown to other operators")),
            rows = { document -> document.recalls.values.map { mapOf("id" to it.batch.name, "reason" to it.reason) } },
            putEntry = { document, form ->
                val batch = BatchId(form.name("id"))
                document.copy(recalls = document.recalls + (batch to Recall(batch, form.line("reason"))))
            },
            removeEntry = { document, key -> document.copy(recalls = document.recalls - BatchId(key)) },
        )

    private val modelVersion =
        EntryForm(
            kind = "model-version",
            title = "Model versions",
            fields = batchedEntryFields("Model version", "name@version"),
            rows = { document ->
                document.modelVersions.values.map { batchedEntryRow(it.id.name, it.batch, it.isRetired) }
            },
            putEntry = { document, form ->
                val id = ModelVersion(form.name("id"))
                val entry = ModelVersionEntry(id, form.optionalName("batch")?.let(::BatchId), readRetired(form))
                document.copy(modelVersions = document.modelVersions + (id to entry))
            },
            removeEntry = {
                document,
                key,
                ->
                document.copy(modelVersions = document.modelVersions - ModelVersion(key))
            },
        )

    private val adapter =
        EntryForm(
            kind = "adapter",
            title = "Adapters",
            fields = batchedEntryFields("Adapter", ""),
            rows = { document -> document.adapters.values.map { batchedEntryRow(it.id.name, it.batch, it.isRetired) } },
            putEntry = { document, form ->
                val id = AdapterName(form.name("id"))
                val entry = AdapterEntry(id, form.optionalName("batch")?.let(::BatchId), readRetired(form))
                document.copy(adapters = document.adapters + (id to entry))
            },
            removeEntry = { document, key -> document.copy(adapters = document.adapters - AdapterName(key)) },
        )

    private val failureDomain =
        EntryForm(
            kind = "failure-domain",
            title = "Failure domains",
            fields = listOf(FormField("id", "Failure domain"), FormField("region", "Region")),
            rows = { document ->
                document.failureDomains.map { (domain, region) -> mapOf("id" to domain.name, "region" to region.name) }
            },
            putEntry = { document, form ->
                val domain = FailureDomain(form.name("id"))
                document.copy(failureDomains = document.failureDomains + (domain to Region(form.name("region"))))
            },
            removeEntry = {
                document,
                key,
                ->
                document.copy(failureDomains = document.failureDomains - FailureDomain(key))
            },
        )

    private val objective =
        EntryForm(
            kind = "objective",
            title = "Service-level objectives",
            fields =
                listOf(
                    FormField("id", "Pool"),
                    FormField("first", "First token", "milliseconds"),
                    FormField("between", "Between tokens", "milliseconds"),
                    FormField("percent", "Percent", "of requests that must meet both"),
                ),
            rows = { document ->
                document.objectives.values.map {
                    mapOf(
                        "id" to it.pool.name,
                        "first" to it.firstTokenMilliseconds.toString(),
                        "between" to it.betweenTokensMilliseconds.toString(),
                        "percent" to it.percent.toString(),
                    )
                }
            },
            putEntry = { document, form ->
                val entry = readObjective(form)
                document.copy(objectives = document.objectives + (entry.pool to entry))
            },
            removeEntry = { document, key -> document.copy(objectives = document.objectives - PoolId(key)) },
        )

    /** All forms, in the order in which the page shows them. */
    val all: List<EntryForm> =
        listOf(team, pool, server, recall, modelVersion, adapter, failureDomain, objective)

    private fun serverRow(server: BackendServer): Map<String, String> = mapOf(
        "id" to server.id.name,
        "pool" to server.pool.name,
        "address" to server.address.toString(),
        "domain" to server.failureDomain.name,
        "slots" to server.slots.toString(),
        "batch" to server.batch?.name.orEmpty(),
        "state" to server.state.name.lowercase(),
        "versions" to server.modelVersions.joinToString(", "),
        "adapters" to server.adapters.joinToString(", "),
        "fencing" to yesOrNo[if (server.checksFencing) 1 else 0],
    )

    private fun readServer(form: FormValues): BackendServer = BackendServer(
        id = ServerId(form.name("id")),
        pool = PoolId(form.name("pool")),
        address = form.address("address"),
        failureDomain = FailureDomain(form.name("domain")),
        slots = form.wholeNumber("slots", 1..MAXIMUM_SLOTS),
        batch = form.optionalName("batch")?.let(::BatchId),
        state = ServerState.valueOf(form.choice("state", states).uppercase()),
        modelVersions = form.names("versions").map(::ModelVersion).toSet(),
        adapters = form.names("adapters").map(::AdapterName).toSet(),
        checksFencing = form.choice("fencing", yesOrNo) == "yes",
    )

    private fun readObjective(form: FormValues): Objective = Objective(
        pool = PoolId(form.name("id")),
        firstTokenMilliseconds = form.wholeNumber("first", 1..MAXIMUM_MILLISECONDS).toLong(),
        betweenTokensMilliseconds = form.wholeNumber("between", 1..MAXIMUM_MILLISECONDS).toLong(),
        percent = form.positiveNumber("percent").coerceAtMost(MAXIMUM_PERCENT.toDouble()),
    )

    private fun batchedEntryFields(label: String, hint: String): List<FormField> = listOf(
        FormField("id", label, hint),
        FormField("batch", "Batch", "may be empty"),
        FormField("retired", "Retired", choices = yesOrNo),
    )

    private fun batchedEntryRow(id: String, batch: BatchId?, isRetired: Boolean): Map<String, String> =
        mapOf("id" to id, "batch" to batch?.name.orEmpty(), "retired" to yesOrNo[if (isRetired) 1 else 0])

    private fun readRetired(form: FormValues): Boolean = form.choice("retired", yesOrNo) == "yes"
}
