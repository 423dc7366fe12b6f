package azuredale.logging

import org.junit.jupiter.api.Nested
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.name
import kotlin.io.path.readLines
import kotlin.io.path.relativeTo
import kotlin.io.path.walk
import kotlin.test.Test
import kotlin.test.assertEquals

class LogEventCatalogueSpec {
    private val catalogue =
        Path.of("docs/log-events.md").readLines().mapNotNull { line ->
            val cells = line.split('|').map { it.trim() }
            if (cells.size >= CELLS && cells[1].startsWith("AZ-")) Row(cells[1], cells[2], cells[3]) else null
        }

    @Nested
    inner class Catalogue {
        @Test
        fun `lists exactly the events of the code`() {
            // Guards against codes that the catalogue does not explain and against stale rows.
            val expected = events().map { Row(it.code, it.level.name, it.text) }.sortedBy { it.code }
            assertEquals(expected.joinToString("\n"), catalogue.sortedBy { it.code }.joinToString("\n"))
        }

        @Test
        fun `gives every number once`() {
            // Guards against two events that cannot be distinguished in a log.
            assertEquals(emptyList(), events().groupBy { it.number }.values.filter { it.size > 1 })
        }
    }

    @OptIn(ExperimentalPathApi::class)
    private fun events(): List<LogEvent> {
        val root = Path.of("target/classes")
        return root
            .walk()
            .filter { it.name.endsWith("LogEvent.class") }
            .map { Class.forName(it.relativeTo(root).joinToString(".").removeSuffix(".class")) }
            .filter { it.isEnum }
            .flatMap { type -> type.enumConstants.filterIsInstance<LogEvent>() }
            .toList()
    }

    private data class Row(
        val code: String,
        val level: String,
        val text: String,
    )

    private companion object {
        const val CELLS = 5
    }
}
