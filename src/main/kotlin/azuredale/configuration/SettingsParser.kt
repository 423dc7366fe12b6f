package azuredale.configuration

import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.RouterId

/**
 * Parses router settings in INI format. docs/settings.md lists the sections and keys.
 *
 * ```
 * when (val parsed = SettingsParser { path -> File(path).readText() }.parse(text)) {
 *     is ParseResult.Valid -> start(parsed.value)
 *     is ParseResult.Invalid -> parsed.errors.forEach(::println)
 * }
 * ```
 *
 * @param readFile returns the content of a file with a secret, or null if it cannot be read.
 */
public class SettingsParser(private val readFile: (path: String) -> String?) {
    /** Returns the settings, or all errors in [text]. */
    public fun parse(text: String): ParseResult<RouterSettings> {
        val ini = IniReader.read(text)
        val errors = ini.errors.toMutableList()
        val sections = SectionReader.open(ini, SettingsSchema.sections, errors)
        val settings = SettingsReader(sections, errors, readFile).read()
        return if (settings != null && errors.isEmpty()) {
            ParseResult.Valid(settings)
        } else {
            ParseResult.Invalid(errors.sortedBy { it.line })
        }
    }
}

/** Builds the settings from the sections of one file. */
private class SettingsReader(
    private val sections: Map<SectionSchema, List<SectionReader>>,
    private val errors: MutableList<ConfigurationError>,
    private val readFile: (String) -> String?,
) {
    private val identity = required(SettingsSchema.router)
    private val addresses = required(SettingsSchema.addresses)
    private val platform = required(SettingsSchema.platform)
    private val secrets = required(SettingsSchema.secrets)
    private val membership = sections[SettingsSchema.membership]?.single()
    private val limits = sections[SettingsSchema.limits]?.single()

    fun read(): RouterSettings? {
        val location = location()
        val listeners = listeners()
        val fleetKey = secret(SettingsSchema.fleetKey, SettingsSchema.fleetKeyFile)
        val operatorToken = secret(SettingsSchema.operatorToken, SettingsSchema.operatorTokenFile)
        val service = platform?.get(SettingsSchema.keyValueService)
        return withOptional(settings(location, listeners, fleetKey, operatorToken, service))
    }

    private fun settings(
        location: RouterLocation?,
        listeners: Listeners?,
        fleetKey: Secret?,
        operatorToken: Secret?,
        service: NetworkAddress?,
    ): RouterSettings? {
        if (location == null || listeners == null) return null
        return RouterSettings(
            router = location.router,
            region = location.region,
            failureDomain = location.failureDomain,
            callerAddress = listeners.caller,
            operatorAddress = listeners.operator,
            peerAddress = listeners.peer,
            probeAddress = listeners.probe,
            keyValueServiceAddress = service ?: return null,
            fleetKey = fleetKey ?: return null,
            operatorToken = operatorToken ?: return null,
        )
    }

    private fun location(): RouterLocation? {
        val section = identity ?: return null
        val router = section[SettingsSchema.name]
        val region = section[SettingsSchema.region]
        val failureDomain = section[SettingsSchema.failureDomain]
        return RouterLocation(router ?: return null, region ?: return null, failureDomain ?: return null)
    }

    /** Reads the optional keys even if [settings] is null, so that errors in them are also reported. */
    private fun withOptional(settings: RouterSettings?): RouterSettings? {
        val list = platform?.get(SettingsSchema.virtualMachineList)
        val seeds = membership?.get(SettingsSchema.seeds)
        val weight = identity?.get(SettingsSchema.weight)
        val workers = identity?.get(SettingsSchema.workers)
        val size = limits?.get(SettingsSchema.requestSize)
        val request = limits?.get(SettingsSchema.requestDeadline)
        val ticket = limits?.get(SettingsSchema.ticketDeadline)
        val address = limits?.get(SettingsSchema.addressDeadline)
        if (settings == null) return null
        return settings.copy(
            virtualMachineListAddress = list,
            seeds = seeds ?: settings.seeds,
            weight = weight ?: settings.weight,
            workers = workers ?: settings.workers,
            requestLimitBytes = size ?: settings.requestLimitBytes,
            requestDeadlineSeconds = request ?: settings.requestDeadlineSeconds,
            ticketDeadlineSeconds = ticket ?: settings.ticketDeadlineSeconds,
            addressDeadlineSeconds = address ?: settings.addressDeadlineSeconds,
        )
    }

    private fun listeners(): Listeners? {
        val section = addresses ?: return null
        val caller = section[SettingsSchema.caller]
        val operator = section[SettingsSchema.operator]
        val peer = section[SettingsSchema.peer]
        val probe = section[SettingsSchema.probe]
        val ports =
            listOf(
                SettingsSchema.caller to caller,
                SettingsSchema.operator to operator,
                SettingsSchema.peer to peer,
            )
        ports.forEachIndexed { index, (key, address) ->
            val earlier = ports.take(index).find { address != null && it.second == address }
            if (earlier != null) section.reportError(key, "the address is already used for ${earlier.first.name}")
        }
        return Listeners(
            caller = caller ?: return null,
            operator = operator ?: return null,
            peer = peer ?: return null,
            probe = probe ?: return null,
        )
    }

    private fun secret(key: KeySchema<Secret>, fileKey: KeySchema<String>): Secret? {
        val section = secrets ?: return null
        val given = section[key]
        val path = section[fileKey]
        return when {
            section.has(key) && section.has(fileKey) -> {
                section.reportError(fileKey, "${key.name} is also set", "either ${key.name} or ${fileKey.name}")
                null
            }
            section.has(key) -> given
            path != null -> fromFile(section, fileKey, path)
            section.has(fileKey) -> null
            else -> {
                section.reportError(key, "the key is missing", "either ${key.name} or ${fileKey.name}")
                null
            }
        }
    }

    private fun fromFile(section: SectionReader, key: KeySchema<String>, path: String): Secret? {
        val text = readFile(path)
        val secret = text?.let(SettingsSchema::secret)
        if (text == null) section.reportError(key, "the file \"$path\" cannot be read")
        if (text != null && secret == null) section.reportError(key, "the text in \"$path\" is too short or too long")
        return secret
    }

    private fun required(schema: SectionSchema): SectionReader? {
        val section = sections[schema]?.single()
        if (section == null) {
            errors += ConfigurationError(0, schema.kind, null, "the section is missing", "[${schema.header}]")
        }
        return section
    }

    private class RouterLocation(
        val router: RouterId,
        val region: Region,
        val failureDomain: FailureDomain,
    )

    private class Listeners(
        val caller: NetworkAddress,
        val operator: NetworkAddress,
        val peer: NetworkAddress,
        val probe: NetworkAddress,
    )
}
