package azuredale.configuration

import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.protocol.Confirmation
import azuredale.protocol.DocumentAnnounce
import azuredale.time.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RevisionOrderSpec {
    private class Event(
        val name: String,
        val apply: DocumentController.(Timestamp) -> Unit,
    )

    private val peer = RouterId("r1")

    private val documents = (0L..4L).map { DocumentFixture.accepted(it) }
    private val bodies = (0L..4L).map { DocumentFixture.body(it) }

    private val events =
        listOf(
            Event("read 1") { documentRead(documents[1], it) },
            Event("read 3") { documentRead(documents[3], it) },
            Event("read nothing") { documentRead(null, it) },
            Event("body 2") { messageReceived(peer, bodies[2], it) },
            Event("body 4") { messageReceived(peer, bodies[4], it) },
            Event("announce 5") { messageReceived(peer, DocumentAnnounce(Revision(5)), it) },
            Event("confirm 1") { confirmationReceived(Confirmation(Revision(1), 0), it) },
            Event("failure and tick") { platformFailed(it).also { _ -> tick(it) } },
        )

    private fun <T> permutations(list: List<T>): Sequence<List<T>> = sequence {
        if (list.isEmpty()) yield(emptyList())
        list.indices.forEach { index ->
            permutations(list - list[index]).forEach { yield(listOf(list[index]) + it) }
        }
    }

    @Test
    fun `never returns to a lower revision, in any order of responses and messages`() {
        // Guards against a late response of the service or of a peer that rolls back the document.
        var orders = 0
        DocumentFixture.withoutLog {
            permutations(events).forEach { order ->
                orders++
                val controller = DocumentController(DocumentFixture.self, DocumentFixture.domain) { 2 }
                var now = Timestamp(1_000_000_000)
                var highest = Revision.NONE
                order.forEach { event ->
                    event.apply(controller, now)
                    val held = controller.document()?.revision ?: Revision.NONE
                    assertTrue(held >= highest, "went back from $highest to $held in ${order.map { it.name }}")
                    assertFalse(held == Revision.NONE && controller.mayGiveOutWork(now), "${order.map { it.name }}")
                    highest = held
                    now = now.plusMilliseconds(10)
                }
                assertEquals(Revision(4), highest, "${order.map { it.name }}")
            }
        }
        assertEquals(40_320, orders)
    }
}
