package azuredale.platform

import azuredale.gateway.FleetBounds
import azuredale.gateway.GatewaySettings
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.RouterId

/** Result of reading the platform's settings file. */
public sealed interface SettingsResult {
    public data class Valid(val settings: GatewaySettings) : SettingsResult

    /** Lists every fault that was found. */
    public data class Invalid(val faults: List<String>) : SettingsResult
}

/**
 * Parses the settings file that the platform writes for a process: lines of the form `a.b=value`.
 *
 * ```
 * when (val result = SettingsFile.parse(Path.of(path).readText())) { ... }
 * ```
 */
public object SettingsFile {
    /** Name of the environment variable that holds the file's path. */
    public const val PATH_VARIABLE: String = "AZUREDALE_SETTINGS"

    /**
     * Parses [text]; ignores unknown keys, because later versions of the platform may add some.
     *
     * @param overrides lines that replace those of [text] with the same key.
     */
    public fun parse(text: String, overrides: List<String> = emptyList()): SettingsResult {
        val fields = Fields((listOf(text) + overrides).joinToString("\n"))
        overrides.filter { '=' !in it }.forEach { fields.faults += "\"$it\" has no value, expected KEY=VALUE" }
        val settings =
            GatewaySettings(
                router = RouterId(fields.text("node")),
                region = Region(fields.text("region")),
                failureDomain = FailureDomain(fields.text("zone")),
                regions =
                    fields
                        .withPrefix("zones.")
                        .entries
                        .associate { (domain, region) -> FailureDomain(domain) to Region(region) },
                callerAddress = fields.address("listen.front"),
                readinessAddress = fields.address("listen.ready"),
                directoryAddress = fields.address("listen.directory"),
                peerAddress = NetworkAddress(fields.text("ip"), fields.firstPort("port-range")),
                storeAddress = fields.address("platform.address"),
                weight = fields.number("limits.cpu-share", 1.0) * fields.number("limits.cores", 1.0),
                memoryBytes = fields.optionalCount("limits.memory-mb")?.let { it * BYTES_PER_MEGABYTE },
                maximumDescriptors = fields.descriptors("limits.max-fds"),
                bounds = bounds(fields),
                isFirstStart = fields.isTrue("bootstrap"),
                weighsPrefixes = fields.switch("prefixes.weigh", true),
            )
        return if (fields.faults.isEmpty()) SettingsResult.Valid(settings) else SettingsResult.Invalid(fields.faults)
    }

    private fun bounds(fields: Fields): FleetBounds {
        val default = FleetBounds()
        return FleetBounds(
            gracePeriodMilliseconds = fields.milliseconds("bounds.grace-s", default.gracePeriodMilliseconds),
            revocationBoundMilliseconds = fields.count("bounds.revoke-ms", default.revocationBoundMilliseconds),
            contactMilliseconds = fields.count("bounds.contact-ms", default.contactMilliseconds),
            evacuationBoundMilliseconds = fields.optionalCount("bounds.evacuate-ms"),
            configurationBoundMilliseconds = fields.optionalCount("bounds.config-apply-ms"),
            coldFactor = fields.number("bounds.cold-over", 0.0).takeIf { it > 0 },
            coldAllowance = fields.number("bounds.cold-slack", default.coldAllowance),
            drainBoundMilliseconds = fields.count("bounds.drain-ms", default.drainBoundMilliseconds),
            retryRatio = fields.number("bounds.retry-budget-ratio", default.retryRatio),
            retryHeadroom = fields.number("bounds.retry-headroom", default.retryHeadroom),
            retryWindowMilliseconds = fields.milliseconds("bounds.budget-window-s", default.retryWindowMilliseconds),
            addressLifetimeSeconds = fields.number("bounds.ttl_max_s", default.addressLifetimeSeconds),
        )
    }

    private class Fields(text: String) {
        val faults = mutableListOf<String>()
        private val values =
            text
                .lineSequence()
                .map { it.trim() }
                .filter { '=' in it && !it.startsWith("#") }
                .associate { it.substringBefore('=').trim() to it.substringAfter('=').trim() }

        fun text(name: String): String =
            values[name]?.takeIf { it.isNotEmpty() } ?: "".also { faults += "$name is missing" }

        /** The values of all fields whose names begin with [prefix], by the rest of their names. */
        fun withPrefix(prefix: String): Map<String, String> = values
            .filter { (name, value) -> name.startsWith(prefix) && value.isNotEmpty() }
            .mapKeys { it.key.removePrefix(prefix) }

        fun address(name: String): NetworkAddress {
            val text = text(name)
            val address = NetworkAddress.parse(text)
            if (address == null && text.isNotEmpty()) faults += "$name is \"$text\", expected HOST:PORT"
            return address ?: UNSPECIFIED_ADDRESS
        }

        fun number(name: String, default: Double): Double {
            val text = values[name]?.takeIf { it.isNotEmpty() } ?: return default
            val number = text.toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0 }
            if (number == null) faults += "$name is \"$text\", expected a non-negative number"
            return number ?: default
        }

        fun count(name: String, default: Long): Long = number(name, default.toDouble()).toLong()

        /** A number that the platform may leave out. */
        fun optionalCount(name: String): Long? = count(name, 0).takeIf { it > 0 }

        fun isTrue(name: String): Boolean = values[name] == "true"

        fun switch(name: String, default: Boolean): Boolean = when (val text = values[name].orEmpty()) {
            "" -> default
            "on" -> true
            "off" -> false
            else -> default.also { faults += "$name is \"$text\", expected on or off" }
        }

        /** A limit of descriptors; 0 says that the platform names none. */
        fun descriptors(name: String): Int {
            val count = count(name, 0).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
            return if (count == 0) GatewaySettings.DEFAULT_DESCRIPTORS else count
        }

        /** A value that is given in seconds. */
        fun milliseconds(name: String, default: Long): Long =
            (number(name, default / MILLISECONDS_PER_SECOND) * MILLISECONDS_PER_SECOND).toLong()

        fun firstPort(name: String): Int {
            val text = text(name)
            val port = text.substringBefore(',').trim().toIntOrNull()
            if (port == null && text.isNotEmpty()) faults += "$name is \"$text\", expected a port range"
            return port ?: 0
        }
    }

    private val UNSPECIFIED_ADDRESS = NetworkAddress("0.0.0.0", 0)
    private const val MILLISECONDS_PER_SECOND = 1_000.0
    private const val BYTES_PER_MEGABYTE = 1_024L * 1_024L
}
