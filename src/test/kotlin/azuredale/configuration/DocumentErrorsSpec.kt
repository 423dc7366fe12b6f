package azuredale.configuration

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class DocumentErrorsSpec {
    /**
     * A document text and its expected errors, each as `line [section] key: problem`.
     *
     * @property text [VALID] with a part replaced by [of] or with lines appended by [added].
     */
    class Case(
        private val name: String,
        val text: String,
        val errors: List<String>,
    ) {
        override fun toString(): String = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `lists every error with its line, section and key`(case: Case) {
        // Guards against operators who must correct errors one by one, or who look in the wrong place.
        val errors = assertIs<ParseResult.Invalid>(DocumentParser.parse(case.text)).errors
        assertEquals(case.errors, errors.map { "${it.line} [${it.section}] ${it.key ?: "-"}: ${it.problem}" })
        assertTrue(errors.all { it.allowed.isNotBlank() }, errors.toString())
    }

    @Test
    fun `accepts the document that the cases are made from`() {
        assertIs<ParseResult.Valid<Document>>(DocumentParser.parse(VALID))
    }

    @Test
    fun `counts lines the same for every line ending`() {
        listOf("\n", "\r\n", "\r").forEach { ending ->
            val text = "$VALID\n[team t2]\nshare = none\npools = models\n".replace("\n", ending)
            assertEquals(19, assertIs<ParseResult.Invalid>(DocumentParser.parse(text)).errors.single().line, "$ending")
        }
    }

    companion object {
        private val VALID =
            """
            [failure-domain south-a]
            region = south
            [pool models]
            kind = model
            [pool herd]
            kind = service
            [server s1]
            pool = models
            address = 10.0.0.1:8000
            failure-domain = south-a
            slots = 4
            batch = blue
            [team t1]
            share = 2
            pools = models, herd
            [recall blue]
            reason = faulty boards
            """.trimIndent()

        private fun of(name: String, old: String, new: String, vararg errors: String): Case {
            check(old in VALID) { "the case \"$name\" replaces nothing" }
            return Case(name, VALID.replaceFirst(old, new), errors.toList())
        }

        private fun added(name: String, lines: String, vararg errors: String) =
            Case(name, "$VALID\n$lines\n", errors.toList())

        @JvmStatic
        fun cases(): List<Case> = forms() + values() + references() + sizes()

        private fun forms() = listOf(
            Case("empty", "", listOf("0 [] -: the document defines no pool")),
            added("unknown section", "[teem t2]", "18 [teem t2] -: the section is unknown"),
            added("unknown section with keys", "[teem t2]\nshare = 1", "18 [teem t2] -: the section is unknown"),
            of("unknown key", "share = 2", "shares = 2\nshare = 2", "14 [team t1] shares: the key is unknown"),
            added("section without a name", "[team]", "18 [team] -: the name \"\" is not allowed"),
            added("section with a bad name", "[team a/b]", "18 [team a/b] -: the name \"a/b\" is not allowed"),
            added(
                "version without a model",
                "[model-version llama]",
                "18 [model-version llama] -: the name \"llama\" is not allowed",
            ),
            added("duplicate section", "[team t1]\nshare = 1", "18 [team t1] -: the section already starts on line 13"),
            added("duplicate section, spaced", "[team   t1]", "18 [team t1] -: the section already starts on line 13"),
            of(
                "duplicate key",
                "share = 2",
                "share = 2\nshare = 3",
                "15 [team t1] share: share is already set on line 14",
            ),
            of(
                "line without a value",
                "share = 2",
                "share = 2\nbroken",
                "15 [team t1] -: the line is not a key with a value",
            ),
            of(
                "key outside a section",
                "[failure-domain",
                "share = 2\n[failure-domain",
                "1 [] -: the line is outside any section",
            ),
            added("open header", "[team t2", "18 [] -: the section header has no closing bracket"),
            added("empty header", "[ ]", "18 [] -: the section header is empty"),
            of(
                "continued line",
                "share = 2",
                "share = 2 \\",
                "14 [team t1] share: the value has a backslash",
                "13 [team t1] share: the key is missing",
            ).sorted(),
            of(
                "open quotes",
                "faulty boards",
                "\"faulty",
                "17 [recall blue] reason: the value has no closing quote",
                "16 [recall blue] reason: the key is missing",
            ).sorted(),
            of(
                "control character",
                "faulty boards",
                "a\u0007b",
                "17 [recall blue] -: the line has a control character",
                "16 [recall blue] reason: the key is missing",
            ).sorted(),
        )

        /** Errors are reported in the order of lines. */
        private fun Case.sorted() = Case(toString(), text, errors.sortedBy { it.substringBefore(' ').toInt() })

        private fun value(key: String, old: String, new: String, line: Int, section: String) =
            of("$key = $new", "$key = $old", "$key = $new", "$line [$section] $key: \"$new\" is not allowed")

        private fun values() = listOf(
            value("share", "2", "0", 14, "team t1"),
            value("share", "2", "-1", 14, "team t1"),
            value("share", "2", "NaN", 14, "team t1"),
            value("share", "2", "1e9", 14, "team t1"),
            value("share", "2", "two", 14, "team t1"),
            value("kind", "service", "Service", 6, "pool herd"),
            value("address", "10.0.0.1:8000", "10.0.0.1:65536", 9, "server s1"),
            value("address", "10.0.0.1:8000", "10.0.0.256:80", 9, "server s1"),
            value("address", "10.0.0.1:8000", "host:80", 9, "server s1"),
            value("address", "10.0.0.1:8000", "10.0.0.1", 9, "server s1"),
            value("slots", "4", "0", 11, "server s1"),
            value("slots", "4", "4.5", 11, "server s1"),
            value("slots", "4", "", 11, "server s1"),
            value("pools", "models, herd", "models, models", 15, "team t1"),
            value("pools", "models, herd", "models,", 15, "team t1"),
            value("reason", "faulty boards", "x".repeat(201), 17, "recall blue").let { case ->
                Case("long reason", case.text, listOf("17 [recall blue] reason: \"${"x".repeat(80)}\" is not allowed"))
            },
            added(
                "unit missing",
                "[objective models]\nfirst-token = 1200",
                "19 [objective models] first-token: \"1200\" is not allowed",
            ),
            added(
                "wrong unit",
                "[objective models]\nfirst-token = 3 bananas\npercent = 101",
                "19 [objective models] first-token: \"3 bananas\" is not allowed",
                "20 [objective models] percent: \"101\" is not allowed",
            ),
            added(
                "empty server",
                "[server s2]",
                "18 [server s2] pool: the key is missing",
                "18 [server s2] address: the key is missing",
                "18 [server s2] failure-domain: the key is missing",
                "18 [server s2] slots: the key is missing",
            ),
        )

        private fun references() = listOf(
            of(
                "undefined pool of a team",
                "models, herd",
                "models, cattle",
                "15 [team t1] pools: pool cattle is not defined",
            ),
            of(
                "undefined names of a server",
                "pool = models\naddress",
                "pool = modles\nadapters = legal\naddress",
                "8 [server s1] pool: pool modles is not defined",
                "9 [server s1] adapters: adapter legal is not defined",
            ),
            of(
                "undefined failure domain",
                "failure-domain = south-a",
                "failure-domain = south-b",
                "10 [server s1] failure-domain: failure domain south-b is not defined",
            ),
            of(
                "undefined model version",
                "slots = 4",
                "slots = 4\nmodel-versions = llama@3",
                "12 [server s1] model-versions: model version llama@3 is not defined",
            ),
            of(
                "unused batch",
                "[recall blue]",
                "[recall bleu]",
                "16 [recall bleu] -: no server, model version or adapter has the batch bleu",
            ),
            added(
                "objective of an undefined pool",
                "[objective cattle]",
                "18 [objective cattle] -: pool cattle is not defined",
            ),
            added(
                "model version in a service pool",
                "[model-version l@1]\n[server s2]\npool = herd\naddress = 10.0.0.2:80\n" +
                    "failure-domain = south-a\nslots = 1\nmodel-versions = l@1",
                "24 [server s2] model-versions: the pool of the server is of kind service",
            ),
            added(
                "address used twice",
                "[server s2]\npool = herd\naddress = 10.0.0.1:8000\nfailure-domain = south-a\nslots = 1",
                "20 [server s2] address: server s1 has the same address",
            ),
            of(
                "an invalid section causes no errors where it is referenced",
                "region = south",
                "region = so uth",
                "2 [failure-domain south-a] region: \"so uth\" is not allowed",
            ),
        )

        private fun sizes(): List<Case> {
            val servers =
                (2..1_025).joinToString("\n") {
                    "[server s$it]\npool = models\naddress = 10.0.${it / 250}.${it % 250}:80\n" +
                        "failure-domain = south-a\nslots = 1"
                }
            return listOf(
                added(
                    "too many servers",
                    servers,
                    "${17 + 1_023 * 5 + 1} [server s1025] -: the document has 1025 sections [server NAME]",
                ),
                Case("too long", "#".repeat(900_001), listOf("0 [] -: the document has 900001 characters")),
            )
        }
    }
}
