package azuredale.routing

import azuredale.logging.LogEvent
import azuredale.outcome.OutcomeLogEvent
import azuredale.standin.StandInLogEvent
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.File
import kotlin.test.assertEquals

class LogEventPageSpec {
    /** Events that share a range of 100 numbers. */
    class Range(val events: List<LogEvent>) {
        override fun toString(): String = events.first().code
    }

    @ParameterizedTest
    @MethodSource("ranges")
    fun `the catalogue lists every event with its level and text`(range: Range) {
        // Guards against documentation that gives an operator the wrong meaning of a log code.
        val first = range.events.first().number
        val listed =
            File("docs/log-events.md")
                .readLines()
                .filter { it.startsWith("| AZ-") }
                .map { line -> line.split('|').map(String::trim).subList(1, 4) }
                .filter { (code) -> code.removePrefix("AZ-").toInt() in first..first + 99 }
        assertEquals(range.events.map { listOf(it.code, it.level.name, it.text) }, listed)
    }

    companion object {
        @JvmStatic
        fun ranges(): List<Range> =
            listOf(Range(RoutingLogEvent.entries), Range(OutcomeLogEvent.entries), Range(StandInLogEvent.entries))
    }
}
