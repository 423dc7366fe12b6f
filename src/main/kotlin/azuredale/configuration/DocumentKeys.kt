package azuredale.configuration

import azuredale.identity.AdapterName
import azuredale.identity.BatchId
import azuredale.identity.FailureDomain
import azuredale.identity.ModelVersion
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.Region

/** Schema of the document: its sections and keys. */
internal object DocumentKeys {
    /** Capacity of the in-memory table of servers. */
    const val MAXIMUM_SERVERS = 1_024

    /** Above the 2,900 teams of a fleet of the target size. */
    const val MAXIMUM_TEAMS = 4_096
    const val MAXIMUM_POOLS = 256
    private const val NAMES_ALLOWED = "names separated by commas, each once"
    private const val REASON_ALLOWED = "1 to 200 printable characters without double quotes and backslashes"
    private const val SMALLEST = 0.000_001
    private val reasonForm = Regex("""[^"\\\p{Cntrl}]{1,200}""")

    val region = Key("region", "name", Formats.NAME_ALLOWED, isRequired = true) { Formats.name(it)?.let(::Region) }

    val share =
        Key("share", "number", "0.000001 to 1000000", isRequired = true) {
            Formats.number(it, SMALLEST..1_000_000.0)
        }
    val pools = namesKey("pools", isRequired = true, ::PoolId)

    val kind = choiceKey("kind", PoolKind.entries, isRequired = true)
    val shards = Key("shards", "number", "1 to 64") { Formats.integer(it, 1..64) }
    val initialCost =
        Key("initial-cost", "tokens or calls", "0.000001 to 1000000000") {
            Formats.number(it, SMALLEST..1_000_000_000.0)
        }

    val pool = Key("pool", "name", "name of a pool", isRequired = true) { Formats.name(it)?.let(::PoolId) }
    val address =
        Key(
            "address",
            "address",
            Formats.ADDRESS_ALLOWED,
            isRequired = true,
            read = NetworkAddress::parse,
        )
    val failureDomain =
        Key("failure-domain", "name", "name of a failure domain", isRequired = true) {
            Formats.name(it)?.let(::FailureDomain)
        }
    val slots = Key("slots", "requests", "1 to 4096", isRequired = true) { Formats.integer(it, 1..4_096) }
    val batch = Key("batch", "name", Formats.NAME_ALLOWED) { Formats.name(it)?.let(::BatchId) }
    val state = choiceKey("state", ServerState.entries, isRequired = false)
    val modelVersions =
        Key("model-versions", "names", "model versions separated by commas, each once") { text ->
            Formats.list(text) { it.takeIf(Formats.modelVersion::matches)?.let(::ModelVersion) }
        }
    val adapters = namesKey("adapters", isRequired = false, ::AdapterName)
    val checksFencing = Key("checks-fencing", "yes or no", "yes, no", read = Formats::flag)
    val retired = Key("retired", "yes or no", "yes, no", read = Formats::flag)

    val reason =
        Key("reason", "text", REASON_ALLOWED, isRequired = true) {
            it.takeIf { text -> reasonForm.matches(text) && text.isNotBlank() && text.trim() == text }
        }

    val firstToken = Key("first-token", "ms, s or min", "1 ms to 10 min") { Formats.period(it, 1L..600_000L) }
    val betweenTokens = Key("between-tokens", "ms, s or min", "1 ms to 10 min") { Formats.period(it, 1L..600_000L) }
    val percent = Key("percent", "percent", "50 to 100") { Formats.number(it, 50.0..100.0) }

    val failureDomains = SectionRule("failure-domain", listOf(region), isNamed = true)
    val teams = SectionRule("team", listOf(share, pools), isNamed = true)
    val poolSections = SectionRule("pool", listOf(kind, shards, initialCost), isNamed = true)
    val servers =
        SectionRule(
            "server",
            listOf(pool, address, failureDomain, slots, batch, state, modelVersions, adapters, checksFencing),
            isNamed = true,
        )
    val versionSections =
        SectionRule(
            "model-version",
            listOf(batch, retired),
            isNamed = true,
            name = Formats.modelVersion,
            nameAllowed = Formats.VERSION_ALLOWED,
        )
    val adapterSections = SectionRule("adapter", listOf(batch, retired), isNamed = true)
    val recalls = SectionRule("recall", listOf(reason), isNamed = true)
    val objectives = SectionRule("objective", listOf(firstToken, betweenTokens, percent), isNamed = true)
    val sections =
        listOf(failureDomains, poolSections, versionSections, adapterSections, servers, teams, recalls, objectives)

    /** Whether [text] is a valid reason for a recall. */
    fun isReason(text: String): Boolean = reason.read(text) != null

    private fun <T : Any> namesKey(key: String, isRequired: Boolean, wrap: (String) -> T) =
        Key(key, "names", NAMES_ALLOWED, isRequired) { text ->
            Formats.list(text) { element -> Formats.name(element)?.let(wrap) }
        }

    private fun <T : Enum<T>> choiceKey(key: String, choices: List<T>, isRequired: Boolean): Key<T> {
        val names = choices.associateBy { it.name.lowercase() }
        return Key(key, "choice", names.keys.joinToString(), isRequired) { names[it] }
    }
}
