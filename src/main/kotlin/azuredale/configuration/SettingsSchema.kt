package azuredale.configuration

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.RouterId

/** Schema of the settings file: its sections and keys. */
internal object SettingsSchema {
    private const val SECRET_ALLOWED = "16 to 512 characters"
    private const val FILE_ALLOWED = "path of a readable file with $SECRET_ALLOWED"
    private val secretLength = 16..512
    private val sizeRange = 1_024L..67_108_864L

    val name: KeySchema<RouterId> = nameKey("name", ::RouterId)
    val region: KeySchema<Region> = nameKey("region", ::Region)
    val failureDomain: KeySchema<FailureDomain> = nameKey("failure-domain", ::FailureDomain)
    val weight = KeySchema("weight", "number", "0.01 to 1000") { ValueParsers.number(it, 0.01..1_000.0) }
    val workers = KeySchema("workers", "threads", "1 to 256") { ValueParsers.integer(it, 1..256) }
    val caller = addressKey("caller", isRequired = true)
    val operator = addressKey("operator", isRequired = true)
    val peer = addressKey("peer", isRequired = true)
    val probe = addressKey("probe", isRequired = true)
    val keyValueService = addressKey("key-value-service", isRequired = true)
    val virtualMachineList = addressKey("virtual-machine-list", isRequired = false)
    val seeds = KeySchema("seeds", "addresses", ValueParsers.ADDRESSES_ALLOWED, read = ValueParsers::addresses)
    val fleetKey = secretKey("fleet-key")
    val fleetKeyFile = KeySchema("fleet-key-file", "path", FILE_ALLOWED) { it.takeIf(String::isNotEmpty) }
    val operatorToken = secretKey("operator-token")
    val operatorTokenFile = KeySchema("operator-token-file", "path", FILE_ALLOWED) { it.takeIf(String::isNotEmpty) }
    val requestSize =
        KeySchema("request-size", "B, KiB or MiB", "1 KiB to 64 MiB") {
            ValueParsers.size(it, sizeRange)?.toInt()
        }
    val requestDeadline = secondsKey("request-deadline", 1L..86_400L, "1 s to 24 h")
    val ticketDeadline = secondsKey("ticket-deadline", 1L..3_600L, "1 s to 1 h")
    val addressDeadline = secondsKey("address-deadline", 1L..3_600L, "1 s to 1 h")

    val router = SectionSchema("router", listOf(name, region, failureDomain, weight, workers))
    val addresses = SectionSchema("addresses", listOf(caller, operator, peer, probe))
    val platform = SectionSchema("platform", listOf(keyValueService, virtualMachineList))
    val membership = SectionSchema("membership", listOf(seeds))
    val secrets = SectionSchema("secrets", listOf(fleetKey, fleetKeyFile, operatorToken, operatorTokenFile))
    val limits = SectionSchema("limits", listOf(requestSize, requestDeadline, ticketDeadline, addressDeadline))
    val sections = listOf(router, addresses, platform, membership, secrets, limits)

    /** Parses a secret, or returns null if its length is out of range. */
    fun secret(text: String): Secret? = text.trim().takeIf { it.length in secretLength }?.let(::Secret)

    private fun <T : Any> nameKey(key: String, wrap: (String) -> T) =
        KeySchema(key, "name", ValueParsers.NAME_ALLOWED, isRequired = true) { ValueParsers.name(it)?.let(wrap) }

    private fun addressKey(key: String, isRequired: Boolean) =
        KeySchema(key, "address", ValueParsers.ADDRESS_ALLOWED, isRequired, read = NetworkAddress::parse)

    private fun secretKey(key: String) = KeySchema(key, "text", SECRET_ALLOWED, isSecret = true, read = ::secret)

    private fun secondsKey(key: String, range: LongRange, allowed: String) =
        KeySchema(key, "ms, s, min or h", "$allowed, whole seconds") { text ->
            ValueParsers
                .duration(text, 0L..Long.MAX_VALUE)
                ?.takeIf { it % MILLISECONDS_PER_SECOND == 0L }
                ?.let { it / MILLISECONDS_PER_SECOND }
                ?.takeIf { it in range }
        }

    private const val MILLISECONDS_PER_SECOND = 1_000L
}
