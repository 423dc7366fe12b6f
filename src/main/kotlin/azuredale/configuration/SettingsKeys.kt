package azuredale.configuration

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.RouterId

/** Schema of the settings file: its sections and keys. */
internal object SettingsKeys {
    private const val SECRET_ALLOWED = "16 to 512 characters"
    private const val FILE_ALLOWED = "path of a readable file with $SECRET_ALLOWED"
    private val secretLength = 16..512
    private val sizeRange = 1_024L..67_108_864L

    val name: Key<RouterId> = nameKey("name", ::RouterId)
    val region: Key<Region> = nameKey("region", ::Region)
    val failureDomain: Key<FailureDomain> = nameKey("failure-domain", ::FailureDomain)
    val weight = Key("weight", "number", "0.01 to 1000") { Formats.number(it, 0.01..1_000.0) }
    val workers = Key("workers", "threads", "1 to 256") { Formats.integer(it, 1..256) }
    val caller = addressKey("caller", isRequired = true)
    val operator = addressKey("operator", isRequired = true)
    val peer = addressKey("peer", isRequired = true)
    val probe = addressKey("probe", isRequired = true)
    val keyValueService = addressKey("key-value-service", isRequired = true)
    val virtualMachineList = addressKey("virtual-machine-list", isRequired = false)
    val seeds = Key("seeds", "addresses", Formats.ADDRESSES_ALLOWED, read = Formats::addresses)
    val fleetKey = secretKey("fleet-key")
    val fleetKeyFile = Key("fleet-key-file", "path", FILE_ALLOWED) { it.takeIf(String::isNotEmpty) }
    val operatorToken = secretKey("operator-token")
    val operatorTokenFile = Key("operator-token-file", "path", FILE_ALLOWED) { it.takeIf(String::isNotEmpty) }
    val requestSize =
        Key("request-size", "B, KiB or MiB", "1 KiB to 64 MiB") {
            Formats.size(it, sizeRange)?.toInt()
        }
    val requestDeadline = secondsKey("request-deadline", 1L..86_400L, "1 s to 24 h")
    val ticketDeadline = secondsKey("ticket-deadline", 1L..3_600L, "1 s to 1 h")
    val addressDeadline = secondsKey("address-deadline", 1L..3_600L, "1 s to 1 h")

    val router = SectionRule("router", listOf(name, region, failureDomain, weight, workers))
    val addresses = SectionRule("addresses", listOf(caller, operator, peer, probe))
    val platform = SectionRule("platform", listOf(keyValueService, virtualMachineList))
    val membership = SectionRule("membership", listOf(seeds))
    val secrets = SectionRule("secrets", listOf(fleetKey, fleetKeyFile, operatorToken, operatorTokenFile))
    val limits = SectionRule("limits", listOf(requestSize, requestDeadline, ticketDeadline, addressDeadline))
    val sections = listOf(router, addresses, platform, membership, secrets, limits)

    /** Parses a secret, or returns null if its length is out of range. */
    fun secret(text: String): Secret? = text.trim().takeIf { it.length in secretLength }?.let(::Secret)

    private fun <T : Any> nameKey(key: String, wrap: (String) -> T) =
        Key(key, "name", Formats.NAME_ALLOWED, isRequired = true) { Formats.name(it)?.let(wrap) }

    private fun addressKey(key: String, isRequired: Boolean) =
        Key(key, "address", Formats.ADDRESS_ALLOWED, isRequired, read = NetworkAddress::parse)

    private fun secretKey(key: String) = Key(key, "text", SECRET_ALLOWED, isSecret = true, read = ::secret)

    private fun secondsKey(key: String, range: LongRange, allowed: String) =
        Key(key, "ms, s, min or h", "$allowed, whole seconds") { text ->
            Formats
                .period(text, 0L..Long.MAX_VALUE)
                ?.takeIf { it % MILLISECONDS_PER_SECOND == 0L }
                ?.let { it / MILLISECONDS_PER_SECOND }
                ?.takeIf { it in range }
        }

    private const val MILLISECONDS_PER_SECOND = 1_000L
}
