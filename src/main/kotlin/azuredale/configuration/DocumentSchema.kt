package azuredale.configuration

import azuredale.identity.AdapterName
import azuredale.identity.BatchId
import azuredale.identity.FailureDomain
import azuredale.identity.ModelVersion
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.Region

/** Schema of the document: its sections and keys. */
internal object DocumentSchema {
    /** Capacity of the in-memory table of servers. */
    const val MAXIMUM_SERVERS = 1_024

    /** Above the 2,900 teams of a fleet of the target size. */
    const val MAXIMUM_TEAMS = 4_096
    const val MAXIMUM_POOLS = 256
    private const val NAMES_ALLOWED = "names separated by commas, each once"
    private const val REASON_ALLOWED = "1 to 200 printable characters without double quotes and backslashes"
    private const val SMALLEST = 0.000_001
    private val reasonForm = Regex("""[^"\\\p{Cntrl}]{1,200}""")

    val region =
        KeySchema("region", "name", ValueParsers.NAME_ALLOWED, isRequired = true) {
            ValueParsers.name(it)?.let(::Region)
        }

    val share =
        KeySchema("share", "number", "0.000001 to 1000000", isRequired = true) {
            ValueParsers.number(it, SMALLEST..1_000_000.0)
        }
    val pools = namesKey("pools", isRequired = true, ::PoolId)

    val kind = choiceKey("kind", PoolKind.entries, isRequired = true)
    val shards = KeySchema("shards", "number", "1 to 64") { ValueParsers.integer(it, 1..64) }
    val initialCost =
        KeySchema("initial-cost", "tokens or calls", "0.000001 to 1000000000") {
            ValueParsers.number(it, SMALLEST..1_000_000_000.0)
        }

    val pool = KeySchema("pool", "name", "name of a pool", isRequired = true) { ValueParsers.name(it)?.let(::PoolId) }
    val address =
        KeySchema(
            "address",
            "address",
            ValueParsers.ADDRESS_ALLOWED,
            isRequired = true,
            read = NetworkAddress::parse,
        )
    val failureDomain =
        KeySchema("failure-domain", "name", "name of a failure domain", isRequired = true) {
            ValueParsers.name(it)?.let(::FailureDomain)
        }
    val slots = KeySchema("slots", "requests", "1 to 4096", isRequired = true) { ValueParsers.integer(it, 1..4_096) }
    val batch = KeySchema("batch", "name", ValueParsers.NAME_ALLOWED) { ValueParsers.name(it)?.let(::BatchId) }
    val state = choiceKey("state", ServerState.entries, isRequired = false)
    val modelVersions =
        KeySchema("model-versions", "names", "model versions separated by commas, each once") { text ->
            ValueParsers.list(text) { it.takeIf(ValueParsers.modelVersion::matches)?.let(::ModelVersion) }
        }
    val adapters = namesKey("adapters", isRequired = false, ::AdapterName)
    val checksFencing = KeySchema("checks-fencing", "yes or no", "yes, no", read = ValueParsers::yesOrNo)
    val retired = KeySchema("retired", "yes or no", "yes, no", read = ValueParsers::yesOrNo)

    val reason =
        KeySchema("reason", "text", REASON_ALLOWED, isRequired = true) {
            it.takeIf { text -> reasonForm.matches(text) && text.isNotBlank() && text.trim() == text }
        }

    val firstToken =
        KeySchema("first-token", "ms, s or min", "1 ms to 10 min") {
            ValueParsers.duration(it, 1L..600_000L)
        }
    val betweenTokens =
        KeySchema("between-tokens", "ms, s or min", "1 ms to 10 min") {
            ValueParsers.duration(it, 1L..600_000L)
        }
    val percent = KeySchema("percent", "percent", "50 to 100") { ValueParsers.number(it, 50.0..100.0) }

    val failureDomains = SectionSchema("failure-domain", listOf(region), isNamed = true)
    val teams = SectionSchema("team", listOf(share, pools), isNamed = true)
    val poolSections = SectionSchema("pool", listOf(kind, shards, initialCost), isNamed = true)
    val servers =
        SectionSchema(
            "server",
            listOf(pool, address, failureDomain, slots, batch, state, modelVersions, adapters, checksFencing),
            isNamed = true,
        )
    val versionSections =
        SectionSchema(
            "model-version",
            listOf(batch, retired),
            isNamed = true,
            name = ValueParsers.modelVersion,
            nameAllowed = ValueParsers.VERSION_ALLOWED,
        )
    val adapterSections = SectionSchema("adapter", listOf(batch, retired), isNamed = true)
    val recalls = SectionSchema("recall", listOf(reason), isNamed = true)
    val objectives = SectionSchema("objective", listOf(firstToken, betweenTokens, percent), isNamed = true)
    val sections =
        listOf(failureDomains, poolSections, versionSections, adapterSections, servers, teams, recalls, objectives)

    /** Whether [text] is a valid reason for a recall. */
    fun isReason(text: String): Boolean = reason.read(text) != null

    private fun <T : Any> namesKey(key: String, isRequired: Boolean, wrap: (String) -> T) =
        KeySchema(key, "names", NAMES_ALLOWED, isRequired) { text ->
            ValueParsers.list(text) { element -> ValueParsers.name(element)?.let(wrap) }
        }

    private fun <T : Enum<T>> choiceKey(key: String, choices: List<T>, isRequired: Boolean): KeySchema<T> {
        val names = choices.associateBy { it.name.lowercase() }
        return KeySchema(key, "choice", names.keys.joinToString(), isRequired) { names[it] }
    }
}
