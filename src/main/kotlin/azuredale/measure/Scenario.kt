package azuredale.measure

/** An error in a scenario file, with the place at which it was found. */
public class ScenarioException(
    file: String,
    line: Int,
    text: String,
) : Exception("$file:$line: $text")

/** One thing to do at [time], microseconds since the start of the run. */
internal class ScenarioStep(
    val time: Long,
    val action: (ScenarioRun) -> Unit,
)

/** One expectation of the scenario's end. */
internal class Expectation(
    val line: Int,
    val text: String,
    val prepare: PreparedCheck,
)

/** A parsed scenario; times in microseconds since the start of the run. */
internal class Scenario(
    val file: String,
    val profile: Profile,
    val seed: Long,
    val loadEnd: Long,
    val end: Long,
    val areKeysRepeated: Boolean,
    val flood: Flood?,
    val steps: List<ScenarioStep>,
    val expectations: List<Expectation>,
)

/** A kind of statement: [pattern] holds `{name}` for a word; [build] gets the words by name. */
internal class StatementForm<T>(
    pattern: String,
    val build: (Map<String, String>) -> T,
) {
    private val names = placeholder.findAll(pattern).map { it.groupValues[1] }.toList()
    private val regex = Regex(pattern.replace(placeholder, "(\\\\S+)"))

    /** The words of [text], or null when it is another kind of statement. */
    fun match(text: String): Map<String, String>? =
        regex.matchEntire(text)?.let { names.zip(it.groupValues.drop(1)).toMap() }

    private companion object {
        val placeholder = Regex("""\{(\w+)}""")
    }
}
