package azuredale.configuration

import azuredale.identity.AdapterName
import azuredale.identity.BatchId
import azuredale.identity.FailureDomain
import azuredale.identity.ModelVersion
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests random documents and damaged texts. Each is built from one seed, which is printed on failure. */
class DocumentParserFuzzSpec {
    @Property(tries = 300, seed = "20261204")
    fun `writes documents that parse back to the same value`(
        @ForAll("seeds") seed: Long,
    ) {
        // Guards against a document edited in the console that differs from what the operator saw.
        val document = RandomDocument(Random(seed)).build()
        val text = DocumentWriter.write(document)
        assertEquals(ParseResult.Valid(document), DocumentParser.parse(text), "seed $seed\n$text")
        assertEquals(text, DocumentWriter.write(document), "seed $seed")
        assertEquals(emptyList(), DocumentDifference.between(document, document), "seed $seed")
    }

    @Property(tries = 1_000, seed = "20261204")
    fun `never throws and reports a line for every error in a damaged document`(
        @ForAll("seeds") seed: Long,
    ) {
        // Guards against a submission that ends in an internal error instead of a list of faults.
        val random = Random(seed)
        val text = damaged(DocumentWriter.write(RandomDocument(random).build()), random)
        val lines = text.split("\r\n", "\n", "\r").size
        when (val parsed = DocumentParser.parse(text)) {
            is ParseResult.Valid -> {
                val again = DocumentParser.parse(DocumentWriter.write(parsed.value))
                assertEquals(parsed, again, "seed $seed\n$text")
            }
            is ParseResult.Invalid -> {
                assertTrue(parsed.errors.isNotEmpty(), "seed $seed: no error is reported")
                assertTrue(parsed.errors.all { it.line in 0..lines }, "seed $seed: ${parsed.errors}")
            }
        }
    }

    @Property(tries = 500, seed = "20261204")
    fun `never throws on arbitrary text`(
        @ForAll text: String,
    ) {
        DocumentParser.parse(text)
        SettingsParser { null }.parse(text)
    }

    @Provide
    fun seeds(): Arbitrary<Long> = Arbitraries.longs()

    private fun damaged(text: String, random: Random): String {
        val result = StringBuilder(text)
        repeat(random.nextInt(1, 8)) {
            val at = random.nextInt(result.length + 1)
            when (random.nextInt(3)) {
                0 -> result.insert(at, PIECES[random.nextInt(PIECES.size)])
                1 -> result.delete(at, minOf(at + random.nextInt(1, 20), result.length))
                else -> if (at < result.length) result.setCharAt(at, random.nextInt(0x2100).toChar())
            }
        }
        return result.toString()
    }

    /** Builds a valid document with one to five sections of each kind; recalls and objectives may be absent. */
    private class RandomDocument(private val random: Random) {
        private val batches = names("batch")
        private val domains = names("domain").map(::FailureDomain)
        private val pools = names("pool").map(::PoolId)
        private val kinds = pools.associateWith { PoolKind.entries.random(random) }
        private val versions = names("model").map { ModelVersion("$it@${random.nextInt(9)}") }
        private val adapters = names("adapter").map(::AdapterName)

        fun build(): Document {
            val servers = names("server").mapIndexed { index, name -> server(ServerId(name), index) }
            val versionEntries = versions.map { ModelVersionEntry(it, batch(), random.nextBoolean()) }
            val adapterEntries = adapters.map { AdapterEntry(it, batch(), random.nextBoolean()) }
            val used = servers.map { it.batch } + versionEntries.map { it.batch } + adapterEntries.map { it.batch }
            return Document(
                failureDomains = domains.associateWith { Region("region-${random.nextInt(3)}") },
                teams = names("team").associate { TeamId(it) to Team(TeamId(it), number(), some(pools, 1)) },
                pools = pools.associateWith { Pool(it, kinds.getValue(it), random.nextInt(1, 65), number()) },
                servers = servers.associateBy { it.id },
                modelVersions = versionEntries.associateBy { it.id },
                adapters = adapterEntries.associateBy { it.id },
                recalls = some(used.filterNotNull(), 0).associateWith { Recall(it, REASONS.random(random)) },
                objectives =
                    some(
                        pools,
                        0,
                    ).associateWith { Objective(it, duration(), duration(), random.nextDouble(50.0, 100.0)) },
            )
        }

        private fun server(id: ServerId, index: Int): BackendServer {
            val pool = pools.random(random)
            val isModel = kinds.getValue(pool) == PoolKind.MODEL
            return BackendServer(
                id = id,
                pool = pool,
                address = NetworkAddress("10.0.0.$index", random.nextInt(1, 65_536)),
                failureDomain = domains.random(random),
                slots = random.nextInt(1, 4_097),
                batch = batch(),
                state = ServerState.entries.random(random),
                modelVersions = if (isModel) some(versions, 0) else emptySet(),
                adapters = if (isModel) some(adapters, 0) else emptySet(),
                checksFencing = random.nextBoolean(),
            )
        }

        private fun names(kind: String) = List(random.nextInt(1, 6)) { "$kind${SEPARATORS.random(random)}$it" }

        private fun batch() = batches.random(random).takeIf { random.nextBoolean() }?.let(::BatchId)

        private fun duration() = random.nextLong(1, 600_001)

        private fun number() =
            if (random.nextBoolean()) random.nextInt(1, 100).toDouble() else random.nextDouble(0.000_1, 1e6)

        private fun <T> some(list: List<T>, least: Int): Set<T> =
            list.shuffled(random).take(random.nextInt(least, list.size + 1)).toSet()
    }

    private companion object {
        val PIECES =
            listOf("\n", "[", "]", "=", "\\\n", "\"", "'", "[team t]", "; c", "\${env:HOME}", "\u0000", "\n= 1\n", "#")
        val SEPARATORS = listOf(".", "-", "_", "x", "..")
        val REASONS = listOf("faulty boards", "a;b # c", "it's", "50 % = half: [see] \${env:HOME}", "ünicode ☂", "x ,y")
    }
}
