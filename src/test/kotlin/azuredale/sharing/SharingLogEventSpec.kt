package azuredale.sharing

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class SharingLogEventSpec {
    @Test
    fun `the log event reference lists every event with its level and text`() {
        // Guards against a mismatch between logged events and their documentation.
        val rows = File("docs/log-events.md").readLines().filter { it.startsWith("| AZ-15") }
        val listed = rows.map { row -> row.split('|').map(String::trim).subList(1, 4) }
        assertEquals(SharingLogEvent.entries.map { listOf(it.code, it.level.name, it.text) }, listed)
    }
}
