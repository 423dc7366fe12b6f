package azuredale.measure

/**
 * Parses the scenario language: one statement per line; `#` begins a comment.
 *
 * ```
 * profile helmsway
 * seed 7
 * load for 15s
 * at 6s recall batch blue
 * expect no new work on batch blue after 9s
 * ```
 *
 * The load begins at [RunTimes.LOAD_START]. Every scenario checks all invariants implicitly.
 *
 * @param defaultSeed seed of scenarios that set none.
 */
internal class ScenarioParser(
    private val file: String,
    private val defaultSeed: Long,
) {
    private class Line(
        val number: Int,
        val text: String,
    )

    private var profileName: String? = null
    private var routers = Profile.DEFAULT_ROUTERS
    private var seed = defaultSeed
    private var loadTime = DEFAULT_LOAD
    private var tail = DEFAULT_TAIL
    private var areKeysRepeated = false
    private var flood: Map<String, String>? = null
    private val headers =
        listOf(
            StatementForm("profile {name}") { profileName = it.getValue("name") },
            StatementForm("routers {count}") { routers = integer(it.getValue("count")).toInt() },
            StatementForm("seed {number}") { seed = integer(it.getValue("number")) },
            StatementForm("load for {seconds}s") { loadTime = integer(it.getValue("seconds")) * EventQueue.SECOND },
            StatementForm("continue for {seconds}s") { tail = integer(it.getValue("seconds")) * EventQueue.SECOND },
            StatementForm("callers repeat keys") { areKeysRepeated = true },
            StatementForm("flood {team} from {from} until {until} by {factor}") { flood = it },
        )

    fun parse(text: String): Scenario {
        val lines =
            text
                .lines()
                .mapIndexed { index, line -> Line(index + 1, line.substringBefore('#').trim()) }
                .filter { it.text.isNotEmpty() }
        val (timed, plain) = lines.partition { it.text.startsWith(AT) || it.text.startsWith(EXPECT) }
        plain.forEach { line -> parseStatement(line, line.text, headers) }
        val profile =
            plain.firstOrNull()?.let { first -> atLine(first) { profile() } }
                ?: throw ScenarioException(file, 1, "the statement 'profile NAME' is missing")
        val words = ScenarioWords(profile)
        val (actions, expectations) = timed.partition { it.text.startsWith(AT) }
        val end = RunTimes.LOAD_START + loadTime + tail
        return Scenario(
            file = file,
            profile = profile,
            seed = seed,
            loadEnd = RunTimes.LOAD_START + loadTime,
            end = end,
            areKeysRepeated = areKeysRepeated,
            flood = plain.firstOrNull { it.text.startsWith("flood") }?.let { line -> atLine(line) { flood(words) } },
            steps = actions.map { step(it, words, ScenarioActions(words), end) },
            expectations = expectations.map { expectation(it, ScenarioExpectations(words)) },
        )
    }

    private fun step(line: Line, words: ScenarioWords, actions: ScenarioActions, end: Long): ScenarioStep {
        val rest = line.text.removePrefix(AT)
        val time = atLine(line) { words.time(rest.substringBefore(' ')) }
        if (time > end) throw ScenarioException(file, line.number, "the scenario ends before this statement")
        return ScenarioStep(time, parseStatement(line, rest.substringAfter(' ', "").trim(), actions.forms))
    }

    private fun expectation(line: Line, expectations: ScenarioExpectations) =
        Expectation(line.number, line.text, parseStatement(line, line.text.removePrefix(EXPECT), expectations.forms))

    private fun <T> parseStatement(line: Line, text: String, forms: List<StatementForm<T>>): T {
        val (form, found) =
            forms.firstNotNullOfOrNull { form -> form.match(text)?.let { form to it } }
                ?: throw ScenarioException(file, line.number, "unknown statement '${line.text}'")
        return atLine(line) { form.build(found) }
    }

    private fun <T> atLine(line: Line, block: () -> T): T = try {
        block()
    } catch (failure: IllegalArgumentException) {
        throw ScenarioException(file, line.number, failure.message.orEmpty())
    }

    private fun profile(): Profile {
        val name = requireNotNull(profileName) { "the statement 'profile NAME' is missing" }
        return requireNotNull(Profile.named(name, routers)) { "profile '$name' does not exist" }
    }

    private fun flood(words: ScenarioWords): Flood {
        val found = checkNotNull(flood)
        return Flood(
            plan = words.team(found.getValue("team")),
            from = words.time(found.getValue("from")),
            until = words.time(found.getValue("until")),
            factor = words.number(found.getValue("factor")),
        )
    }

    private fun integer(word: String): Long = requireNotNull(word.toLongOrNull()) { "'$word' is not a whole number" }

    private companion object {
        const val AT = "at "
        const val EXPECT = "expect "
        const val DEFAULT_LOAD = 15 * EventQueue.SECOND
        const val DEFAULT_TAIL = 5 * EventQueue.SECOND
    }
}
