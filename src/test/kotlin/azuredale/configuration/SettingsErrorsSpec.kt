package azuredale.configuration

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs

class SettingsErrorsSpec {
    private val sample = File("samples/router.ini").readText()
    private val files = mapOf("operator-token.txt" to "operator-token-of-a-file\n", "short.txt" to "short")
    private val parser = SettingsParser(files::get)

    private fun errorsOf(text: String): List<String> = assertIs<ParseResult.Invalid>(parser.parse(text))
        .errors
        .map { "[${it.section}] ${it.key ?: "-"}: ${it.problem}" }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "name = router-1 | name = router 1 | [router] name: \"router 1\" is not allowed",
            "weight = 1.0 | weight = 0 | [router] weight: \"0\" is not allowed",
            "weight = 1.0 | workers = 1000 | [router] workers: \"1000\" is not allowed",
            "weight = 1.0 | wait = 1 | [router] wait: the key is unknown",
            "caller = 127.0.0.1:7001 | caller = 127.0.0.1:0 | [addresses] caller: \"127.0.0.1:0\" is not allowed",
            "caller = 127.0.0.1:7001 | caller = 127.0.0.1:7002 " +
                "| [addresses] operator: the address is already used for caller",
            "region = south | # none | [router] region: the key is missing",
            "[platform] | [plattform] | [platform] -: the section is missing;[plattform] -: the section is unknown",
            "4 MiB | 4 MB | [limits] request-size: \"4 MB\" is not allowed",
            "4 MiB | 65 MiB | [limits] request-size: \"65 MiB\" is not allowed",
            "300 s | 300 | [limits] request-deadline: \"300\" is not allowed",
            "300 s | 1500 ms | [limits] request-deadline: \"1500 ms\" is not allowed",
            "300 s | 2 days | [limits] request-deadline: \"2 days\" is not allowed",
            "replace-this-fleet-key | too-short | [secrets] fleet-key: the value is not allowed",
            "operator-token.txt | missing.txt | [secrets] operator-token-file: the file \"missing.txt\" cannot be read",
            "operator-token.txt | short.txt | " +
                "[secrets] operator-token-file: the text in \"short.txt\" is too short or too long",
            "operator-token-file = operator-token.txt | # none | [secrets] operator-token: the key is missing",
            "operator-token-file | operator-token = 0123456789abcdef;operator-token-file " +
                "| [secrets] operator-token-file: operator-token is also set",
        ],
    )
    fun `lists every error in the settings`(old: String, new: String, expected: String) {
        // Guards against a router that ignores an invalid setting and starts with another value.
        val text = sample.replaceFirst(old, new.replace(';', '\n'))
        assertFalse(text == sample, "nothing was replaced")
        assertEquals(expected.split(';'), errorsOf(text))
    }

    @Test
    fun `never shows a secret`() {
        // Guards against a secret in a log or on the console.
        val secret = "hunter-seventeen"
        val text = sample.replace("replace-this-fleet-key", "$secret\nfleet-key = $secret\nfleet-key-file = short.txt")
        assertFalse(errorsOf(text).any { secret in it })
        val long = sample.replace("replace-this-fleet-key", secret.repeat(100))
        assertFalse(errorsOf(long).any { secret in it })
        val settings = assertIs<ParseResult.Valid<RouterSettings>>(parser.parse(sample)).value
        assertFalse("replace-this-fleet-key" in settings.toString())
    }

    @Test
    fun `does not expand references to the environment`() {
        // Guards against interpolation by the INI library, which can read files and environment variables.
        val text = sample.replace("replace-this-fleet-key", "\${env:HOME}-0123456789")
        val settings = assertIs<ParseResult.Valid<RouterSettings>>(parser.parse(text)).value
        assertEquals("\${env:HOME}-0123456789", settings.fleetKey.bytes().decodeToString())
    }

    @Test
    fun `reports all missing sections of an empty file`() {
        assertEquals(listOf("router", "addresses", "platform", "secrets"), sectionsMissingIn(""))
    }

    private fun sectionsMissingIn(text: String) =
        assertIs<ParseResult.Invalid>(parser.parse(text)).errors.map { it.section }
}
