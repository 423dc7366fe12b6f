package azuredale.configuration

import azuredale.identity.PoolId
import azuredale.identity.ServerId
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ReferencePagesSpec {
    private class Row(
        val unit: String,
        val default: String,
        val bound: String,
    )

    /** Tables of a page by the kind of their section, with keys in page order. */
    private fun tables(page: String): Map<String, Map<String, Row>> {
        val tables = LinkedHashMap<String, LinkedHashMap<String, Row>>()
        var rows: LinkedHashMap<String, Row>? = null
        File("docs/$page").forEachLine { line ->
            val cells = line.trim('|').split('|').map { it.trim() }
            if (line.startsWith("## [")) {
                rows =
                    LinkedHashMap<String, Row>().also {
                        tables[line.substring(4).substringBefore(']').substringBefore(' ')] =
                            it
                    }
            } else if (line.startsWith("| ") && cells.first() != "key") {
                rows?.put(cells[0], Row(cells[1], cells[2], cells[3]))
            }
        }
        return tables
    }

    /** Compares a page with [schemas] and with [defaults], the default values of the data classes. */
    private fun check(page: String, schemas: List<SectionSchema>, defaults: Map<KeySchema<*>, Any>) {
        val tables = tables(page)
        assertEquals(schemas.map { it.kind }.toSet(), tables.keys, "sections of $page")
        schemas.forEach { schema ->
            val rows = tables.getValue(schema.kind)
            assertEquals(schema.keys.map { it.name }, rows.keys.toList(), "keys of [${schema.kind}] in $page")
            schema.keys.forEach { key ->
                val row = rows.getValue(key.name)
                assertEquals(key.unit to key.allowed, row.unit to row.bound, "[${schema.kind}] ${key.name} in $page")
                assertEquals(key.isRequired, row.default == "required", "[${schema.kind}] ${key.name} in $page")
                val given = row.default.takeIf { it !in setOf("required", "none", "one of the two") }
                assertEquals(
                    defaults[key],
                    given?.let { key.read(it) },
                    "default of [${schema.kind}] ${key.name} in $page",
                )
            }
        }
    }

    @Test
    fun `settings page states the keys, units, defaults and bounds of the parser`() {
        // Guards against documentation of keys, units or defaults that the router does not have.
        val text = File("samples/router.ini").readText()
        val minimal = text.lines().filter { line -> "weight" !in line && "request-" !in line }.joinToString("\n")
        val parsed = SettingsParser { "operator-token-of-a-file" }.parse(minimal)
        val settings = assertIs<ParseResult.Valid<RouterSettings>>(parsed, parsed.toString()).value
        check(
            "settings.md",
            SettingsSchema.sections,
            mapOf(
                SettingsSchema.weight to settings.weight,
                SettingsSchema.workers to settings.workers,
                SettingsSchema.requestSize to settings.requestLimitBytes,
                SettingsSchema.requestDeadline to settings.requestDeadlineSeconds,
                SettingsSchema.ticketDeadline to settings.ticketDeadlineSeconds,
                SettingsSchema.addressDeadline to settings.addressDeadlineSeconds,
            ),
        )
    }

    @Test
    fun `document page states the keys, units, defaults and bounds of the parser`() {
        val document = DocumentFixture.accepted(1).document
        val pool = document.pools.getValue(PoolId("models"))
        val server = document.servers.getValue(ServerId("s1"))
        val objective = Objective(pool.id)
        check(
            "document.md",
            DocumentSchema.sections,
            mapOf(
                DocumentSchema.shards to pool.shards,
                DocumentSchema.initialCost to pool.initialCost,
                DocumentSchema.retired to false,
                DocumentSchema.state to server.state,
                DocumentSchema.checksFencing to server.checksFencing,
                DocumentSchema.firstToken to objective.firstTokenMilliseconds,
                DocumentSchema.betweenTokens to objective.betweenTokensMilliseconds,
                DocumentSchema.percent to objective.percent,
            ),
        )
    }
}
