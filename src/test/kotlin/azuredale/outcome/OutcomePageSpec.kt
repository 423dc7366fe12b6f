package azuredale.outcome

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class OutcomePageSpec {
    @Test
    fun `docs outcomes matches the error kinds in the code`() {
        // Guards against documentation that misleads callers about the meaning of an error kind.
        val rows =
            File("docs/outcomes.md")
                .readLines()
                .filter { it.startsWith("| `") }
                .map { line -> line.split('|').map { it.trim().trim('`') }.subList(1, 7) }
        val expected =
            ErrorKind.entries.map { kind ->
                val retry = if (kind.isRetryable) "yes" else "no"
                listOf(
                    kind.name,
                    kind.status.toString(),
                    kind.execution.name
                        .lowercase()
                        .replace('_', '-'),
                    retry,
                )
            }
        assertEquals(expected, rows.map { it.take(4) })
        for (row in rows) assertEquals(emptyList(), row.drop(4).filter { it.length < 10 }, "no guidance for ${row[0]}")
    }
}
