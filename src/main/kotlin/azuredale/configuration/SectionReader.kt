package azuredale.configuration

/** Parses the values of one section and adds errors to [errors]. */
internal class SectionReader(
    val section: IniSection,
    private val schema: SectionSchema,
    private val errors: MutableList<ConfigurationError>,
) {
    val name: String get() = section.name

    init {
        val known = schema.keys.map { it.name }
        section.entries.filterKeys { it !in known }.forEach { (key, entry) ->
            reportError(key, entry.line, "the key is unknown", known.joinToString())
        }
    }

    /** The value of [key], or null if it is missing or invalid. Records an error for an invalid or required key. */
    operator fun <T : Any> get(key: KeySchema<T>): T? {
        val entry = section.entries[key.name]
        if (entry == null) {
            if (key.isRequired) reportError(key.name, section.line, "the key is missing", key.allowed)
            return null
        }
        val value = key.read(entry.value)
        if (value == null) {
            val shown = if (key.isSecret) "the value" else "\"${entry.value.take(SHOWN_CHARACTERS)}\""
            reportError(key.name, entry.line, "$shown is not allowed", key.allowed)
        }
        return value
    }

    /** The value of [key] like [get], but without recording errors, for checks after the first read. */
    fun <T : Any> valueOf(key: KeySchema<T>): T? = section.entries[key.name]?.let { key.read(it.value) }

    /** Records an error of [key] other than an unparsable value. */
    fun reportError(key: KeySchema<*>, problem: String, allowed: String = key.allowed) {
        reportError(key.name, section.entries[key.name]?.line ?: section.line, problem, allowed)
    }

    /** Records an error of the whole section. */
    fun reportError(problem: String, allowed: String) {
        reportError(null, section.line, problem, allowed)
    }

    fun has(key: KeySchema<*>): Boolean = key.name in section.entries

    private fun reportError(key: String?, line: Int, problem: String, allowed: String) {
        errors += ConfigurationError(line, section.header, key, problem, allowed)
    }

    companion object {
        private const val SHOWN_CHARACTERS = 80

        /** Matches sections to [schemas]. Records errors for unknown sections and invalid names. */
        fun open(
            text: IniText,
            schemas: List<SectionSchema>,
            errors: MutableList<ConfigurationError>,
        ): Map<SectionSchema, List<SectionReader>> {
            val opened =
                text.sections.mapNotNull { section ->
                    val schema = schemas.find { it.kind == section.kind }
                    val problem =
                        when {
                            schema == null -> "the section is unknown" to schemas.joinToString { "[${it.header}]" }
                            schema.isNamed && !schema.name.matches(section.name) ->
                                "the name \"${section.name.take(SHOWN_CHARACTERS)}\" is not allowed" to
                                    schema.nameAllowed
                            !schema.isNamed && section.name.isNotEmpty() ->
                                "the section header must not have a name" to
                                    "[${schema.header}]"
                            else -> null
                        }
                    if (problem != null) {
                        errors += ConfigurationError(section.line, section.header, null, problem.first, problem.second)
                    }
                    schema?.takeIf { problem == null }?.let { it to SectionReader(section, it, errors) }
                }
            return opened.groupBy({ it.first }, { it.second })
        }
    }
}
