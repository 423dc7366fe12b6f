package azuredale.configuration

import azuredale.identity.PoolId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class SamplesSpec {
    @ParameterizedTest
    @CsvSource("pampa-sinal.ini, models, 13, 16", "helmsway.ini, assistants, 8, 16")
    fun `sample documents are valid and have the expected sizes`(file: String, pool: String, servers: Int, teams: Int) {
        // Guards against samples that are rejected when an operator copies them.
        val parsed = DocumentParser.parse(File("samples/$file").readText())
        val document = assertIs<ParseResult.Valid<Document>>(parsed, parsed.toString()).value
        assertEquals(servers, document.serversOf(PoolId(pool)).size)
        assertEquals(teams, document.teams.size)
        assertEquals(ParseResult.Valid(document), DocumentParser.parse(DocumentWriter.write(document)))
    }

    @Test
    fun `sample settings are valid`() {
        val parsed = SettingsParser { "operator-token-of-a-file\n" }.parse(File("samples/router.ini").readText())
        val settings = assertIs<ParseResult.Valid<RouterSettings>>(parsed, parsed.toString()).value
        assertEquals("operator-token-of-a-file", settings.operatorToken.bytes().decodeToString())
        assertEquals(2, settings.seeds.size)
    }
}
