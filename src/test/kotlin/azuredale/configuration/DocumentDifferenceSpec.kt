package azuredale.configuration

import azuredale.identity.BatchId
import azuredale.identity.PoolId
import azuredale.identity.TeamId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class DocumentDifferenceSpec {
    private val before = DocumentFixture.accepted(1).document

    @Test
    fun `lists changed, added and removed sections and keys`() {
        // Guards against an operator who submits a change that was not shown.
        val team = before.teams.getValue(TeamId("t1"))
        val pool = before.pools.getValue(PoolId("models"))
        val server = before.servers.values.single()
        val after =
            before.copy(
                teams = mapOf(TeamId("t2") to team.copy(id = TeamId("t2"))),
                pools = mapOf(pool.id to pool.copy(shards = 3)),
                servers = mapOf(server.id to server.copy(slots = 8, batch = null, state = ServerState.LEAVING)),
            )
        val expected =
            listOf(
                "[pool models] shards: added 3",
                "[server s1] slots: 4 -> 8",
                "[server s1] batch: removed blue",
                "[server s1] state: added leaving",
                "[team t1]: removed",
                "[team t2]: added",
            )
        assertEquals(expected, DocumentDifference.between(before, after).map { it.toString() })
    }

    @Test
    fun `adds and removes a recall, and rejects an invalid reason or a batch that is not in use`() {
        // Guards against a recall that is accepted with a misspelt batch, and against sections injected by a reason.
        val recalled = DocumentEdits.withRecall(before, BatchId("blue"), "faulty boards")
        val document = assertIs<ParseResult.Valid<Document>>(recalled).value
        assertEquals(listOf("[recall blue]: added"), DocumentDifference.between(before, document).map { it.toString() })
        assertEquals(before, DocumentEdits.withoutRecall(document, BatchId("blue")))
        assertIs<ParseResult.Invalid>(DocumentEdits.withRecall(before, BatchId("bleu"), "faulty boards"))
        listOf("", " x", "a\n[team t9]", "a\"b", "a\\b", "x".repeat(201)).forEach { reason ->
            assertIs<ParseResult.Invalid>(DocumentEdits.withRecall(before, BatchId("blue"), reason), reason)
        }
    }
}
