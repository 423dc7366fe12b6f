package azuredale.measure

/** An error in a scenario file, with its file and line. */
public class ScenarioException(
    file: String,
    line: Int,
    text: String,
) : Exception("$file:$line: $text")

/** An action of a scenario at [time], in microseconds since the start of the run. */
internal class ScenarioStep(
    val time: Long,
    val action: (ScenarioRun) -> Unit,
)

/** An expectation that is evaluated at the end of a scenario. */
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

/** The form of a statement: `{name}` in the pattern matches one word, and [build] receives the words by name. */
internal class StatementForm<T>(
    pattern: String,
    val build: (Map<String, String>) -> T,
) {
    private val names = placeholder.findAll(pattern).map { it.groupValues[1] }.toList()
    private val regex = Regex(pattern.replace(placeholder, "(\\\\S+)"))

    /** Returns the words of [text] by name, or null if it has another form. */
    fun match(text: String): Map<String, String>? =
        regex.matchEntire(text)?.let { names.zip(it.groupValues.drop(1)).toMap() }

    private companion object {
        val placeholder = Regex("""\{(\w+)}""")
    }
}
