package azuredale.peers

import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.identity.PartId
import azuredale.quarantine.QuarantineDecision
import azuredale.quarantine.QuarantineTable
import azuredale.quarantine.ServerEnd
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals

/** Load pattern: a deadly part comes at any router, so that each crash is seen by other routers. */
class QuarantineExchangeSpec {
    private fun prompt(vararg parts: String) = PromptShape(parts.map { PromptPart(it, 100) }, 100, 20)

    private fun SimulatedExchange.crash(server: Int, router: Int, vararg prompts: PromptShape) =
        nodes[router].quarantine.recordCrash(ServerEnd(server, 1), prompts.toList(), now)

    private fun SimulatedExchange.blocking(part: String) =
        nodes.count { it.quarantine.decide(prompt(part, "x"), now) is QuarantineDecision.Quarantined }

    @Nested
    inner class Crashes {
        @ParameterizedTest
        @ValueSource(ints = [8, 40, 95])
        fun `seen by different routers quarantine a part at all of them within a second`(routers: Int) {
            // Guards against routers of which each sees too few crashes to conclude anything.
            val fleet = SimulatedExchange(routers, domains = 4)
            fleet.run(3_000)
            repeat(3) { round ->
                fleet.crash(round, router = round + 1, prompt("first", "deadly", "last$round"))
                fleet.crash(round, router = round + 4, prompt("first", "sound$round", "last$round"))
                fleet.nodes[0].quarantine.recordAnswer(prompt("first", "x"), fleet.now)
                fleet.run(400)
            }
            fleet.run(1_000)
            assertEquals(routers, fleet.blocking("deadly"))
            assertEquals(0, fleet.blocking("first") + fleet.blocking("sound1"))
        }

        @Test
        fun `do not quarantine a part that another router answers`() {
            // Guards against a router that blocks a part of which it saw only the requests that failed.
            val fleet = SimulatedExchange(routers = 40, domains = 4)
            fleet.run(3_000)
            repeat(4) { round ->
                fleet.crash(round, router = 1, prompt("part", "last"))
                fleet.nodes[30].quarantine.recordAnswer(prompt("part", "last"), fleet.now)
                fleet.run(400)
            }
            assertEquals(0, fleet.blocking("part"))
        }
    }

    @Nested
    inner class Table {
        @Test
        fun `read by one router reaches all, and a restarted one within half a second`() {
            // Guards against reads of the store by every router.
            val fleet = SimulatedExchange(routers = 40, domains = 4)
            fleet.run(3_000)
            val table = QuarantineTable(StorePoint(StoreEra.NONE, 9), mapOf(PartId("deadly") to 0))
            fleet.nodes[5].quarantine.adoptTable(table, fleet.now, fleet.now)
            fleet.run(1_000)
            assertEquals(40, fleet.blocking("deadly"))
        }
    }
}
