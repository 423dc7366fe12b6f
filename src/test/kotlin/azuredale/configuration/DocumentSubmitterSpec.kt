package azuredale.configuration

import azuredale.identity.Revision
import azuredale.node.NodeEvent
import azuredale.outcome.ErrorKind
import azuredale.platform.PlatformFixture
import azuredale.standin.PlatformFaults
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.flow.produceIn
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class DocumentSubmitterSpec {
    private val pushed = CopyOnWriteArrayList<AcceptedDocument>()
    private var held: AcceptedDocument? = null
    private var hasMajority = true

    private fun PlatformFixture.submitter() =
        DocumentSubmitter(client, clock, { held }, { hasMajority }, { pushed += it }, timeoutMilliseconds = 800)

    private suspend fun PlatformFixture.stored(): AcceptedDocument? =
        assertIs<NodeEvent.DocumentRead>(DocumentSource(client, clock).read()).document

    @Nested
    inner class Acceptance {
        @Test
        fun `stores the document and pushes it to peers before it returns`() = PlatformFixture.run {
            // Guards against an accepted document that only the accepting node holds.
            val result = submitter().submit(DocumentFixture.text(1), Revision.NONE, "a")
            val document = assertIs<SubmissionResult.Accepted>(result).document
            assertEquals(Revision(1), document.revision)
            assertEquals(listOf(document), pushed)
            assertEquals(document, stored())
        }

        @Test
        fun `changes nothing when the document has faults`() = PlatformFixture.run {
            val text = DocumentFixture.text(0) + "[pool models]\n[team]\n"
            val result = submitter().submit(text, Revision.NONE, "a")
            assertEquals(3, assertIs<SubmissionResult.Invalid>(result).errors.size, result.toString())
            assertNull(stored())
            assertTrue(pushed.isEmpty())
        }

        @Test
        fun `is refused without a majority`() = PlatformFixture.run {
            // Guards against a recall that is accepted on the smaller side of a partition.
            hasMajority = false
            val result = submitter().submit(DocumentFixture.text(1), Revision.NONE, "a")
            assertEquals(ErrorKind.DOCUMENT_MINORITY, result.failure?.kind)
            assertNull(stored())
        }

        @Test
        fun `restores the fleet's document after the service lost its data`() = PlatformFixture.run {
            // Guards against a fleet that can no longer accept submissions, and against a decreasing revision.
            held = DocumentFixture.accepted(7)
            val behind = submitter().submit(DocumentFixture.text(1), Revision.NONE, "a")
            assertEquals(Revision(7), assertIs<SubmissionResult.Raced>(behind).revision)
            val result = submitter().submit(DocumentFixture.text(1), Revision(7), "b")
            assertEquals(Revision(8), assertIs<SubmissionResult.Accepted>(result).document.revision)
        }
    }

    @Nested
    inner class Races {
        @Test
        fun `accepts one of several submitters and names the winner to the others`() = PlatformFixture.run { scope ->
            // Guards against two operators who are both told that their document was accepted.
            (0L until 20).forEach { base ->
                val results =
                    (1..4)
                        .map {
                            scope.async {
                                submitter().submit(
                                    DocumentFixture.text(it),
                                    Revision(base),
                                    "$base-$it",
                                )
                            }
                        }.awaitAll()
                val winner = results.filterIsInstance<SubmissionResult.Accepted>().single().document
                val losers = results.filterIsInstance<SubmissionResult.Raced>()
                assertEquals(3, losers.size, results.toString())
                assertTrue(losers.all { it.winner == winner.submission && it.revision == winner.revision }, "$results")
                assertEquals(winner, stored())
            }
        }

        @Test
        fun `reports acceptance after a lost reply and a conflict after a lost race`() = PlatformFixture.run {
            // Guards against reporting an accepted document as superseded, or the reverse.
            standIn.faults = PlatformFaults(lostReplies = 1)
            val first = submitter().submit(DocumentFixture.text(1), Revision.NONE, "a")
            assertEquals(Revision(1), assertIs<SubmissionResult.Accepted>(first).document.revision)
            val second = submitter().submit(DocumentFixture.text(2), Revision.NONE, "b")
            assertEquals(SubmissionResult.Raced("a", Revision(1)), second)
        }

        @Test
        fun `writes again when the request was lost`() = PlatformFixture.run {
            standIn.faults = PlatformFaults(lostRequests = 2)
            val result = submitter().submit(DocumentFixture.text(1), Revision.NONE, "a")
            assertIs<SubmissionResult.Accepted>(result)
            assertEquals("a", stored()?.submission)
        }

        @Test
        fun `accepts a repeat of a submission once, even after others followed`() = PlatformFixture.run {
            // Guards against a form that is sent twice and replaces a later document.
            (0L..3L).forEach { submitter().submit(DocumentFixture.text(it.toInt() + 1), Revision(it), "s$it") }
            val repeat = submitter().submit(DocumentFixture.text(2), Revision(1), "s1", isRepeat = true)
            assertEquals(Revision(2), assertIs<SubmissionResult.Accepted>(repeat).document.revision)
            assertEquals("s3", stored()?.submission)
        }

        @Test
        fun `reports an unknown result when the envelope no longer records the submission`() = PlatformFixture.run {
            (0L..17L).forEach { submitter().submit(DocumentFixture.text(1), Revision(it), "s$it") }
            val repeat = submitter().submit(DocumentFixture.text(1), Revision.NONE, "s0", isRepeat = true)
            assertEquals(ErrorKind.SUBMISSION_UNKNOWN, repeat.failure?.kind)
            val late = submitter().submit(DocumentFixture.text(1), Revision.NONE, "new")
            assertEquals(SubmissionResult.Raced("s17", Revision(18)), late)
        }
    }

    @Nested
    inner class Outage {
        @Test
        fun `is refused as not run when the service does not answer the read`() = PlatformFixture.run {
            standIn.faults = PlatformFaults(isDown = true)
            val result = submitter().submit(DocumentFixture.text(1), Revision.NONE, "a")
            assertEquals(ErrorKind.PLATFORM_UNAVAILABLE, result.failure?.kind)
            standIn.faults = PlatformFaults()
            assertNull(stored())
        }

        @ParameterizedTest
        @ValueSource(booleans = [true, false])
        fun `is unknown when every reply to the write is lost`(hasEffect: Boolean) = PlatformFixture.run {
            // Guards against reporting a document as not accepted although it was stored.
            val lost = PlatformFaults(lostReplies = 100.takeIf { hasEffect } ?: 0, lostRequests = 100)
            standIn.faults = if (hasEffect) lost.copy(lostRequests = 0) else lost
            val result = submitter().submit(DocumentFixture.text(1), Revision.NONE, "a")
            assertEquals(ErrorKind.SUBMISSION_UNKNOWN, result.failure?.kind)
            assertTrue(pushed.isEmpty())
            standIn.faults = PlatformFaults()
            assertEquals("a".takeIf { hasEffect }, stored()?.submission)
        }
    }

    @Nested
    inner class Reading {
        @Test
        fun `confirms an unchanged document by its version and reads a changed one`() = PlatformFixture.run {
            // Guards against a read that transfers the whole document twice a second on every watcher.
            val source = DocumentSource(client, clock)
            submitter().submit(DocumentFixture.text(1), Revision.NONE, "a")
            assertIs<NodeEvent.DocumentRead>(source.read())
            assertEquals(NodeEvent.RevisionConfirmed(Revision(1)), source.read())
            submitter().submit(DocumentFixture.text(2), Revision(1), "b")
            assertEquals("b", assertIs<NodeEvent.DocumentRead>(source.read()).document?.submission)
            standIn.faults = PlatformFaults(isDown = true)
            assertEquals(NodeEvent.PlatformFailed, source.read())
        }

        @Test
        fun `reads the document again after the store has returned from an older copy`() = PlatformFixture.run {
            // Guards against an outdated document that is confirmed because the store gave its version out again.
            val source = DocumentSource(client, clock)
            submitter().submit(DocumentFixture.text(1), Revision.NONE, "a")
            standIn.copy()
            submitter().submit(DocumentFixture.text(2), Revision(1), "b")
            held = assertIs<NodeEvent.DocumentRead>(source.read()).document
            standIn.restore()
            submitter().submit(DocumentFixture.text(3), Revision(2), "c")
            assertEquals("c", assertIs<NodeEvent.DocumentRead>(source.read()).document?.submission)
        }

        @Test
        fun `reads a document again that was reported by a watch of an earlier era`() = PlatformFixture.run { scope ->
            // Guards against an outdated document that is confirmed because the store gave its version out again.
            val source = DocumentSource(client, clock)
            val events = source.watch().produceIn(scope)
            assertEquals(NodeEvent.DocumentRead(null), events.receive())
            submitter().submit(DocumentFixture.text(1), Revision.NONE, "a")
            assertEquals("a", assertIs<NodeEvent.DocumentRead>(events.receive()).document?.submission)
            standIn.copy()
            submitter().submit(DocumentFixture.text(2), Revision(1), "b")
            held = assertIs<NodeEvent.DocumentRead>(events.receive()).document
            events.cancel()
            standIn.restore()
            submitter().submit(DocumentFixture.text(3), Revision(2), "c")
            assertEquals("c", assertIs<NodeEvent.DocumentRead>(source.read()).document?.submission)
        }

        @Test
        fun `reopens a broken watch and reports changes made meanwhile`() = PlatformFixture.run { scope ->
            // Guards against a watcher that misses a document accepted while its watch was broken.
            val events = DocumentSource(client, clock).watch().produceIn(scope)
            assertEquals(NodeEvent.DocumentRead(null), events.receive())
            submitter().submit(DocumentFixture.text(1), Revision.NONE, "a")
            assertEquals("a", assertIs<NodeEvent.DocumentRead>(events.receive()).document?.submission)
            standIn.breakWatches()
            submitter().submit(DocumentFixture.text(2), Revision(1), "b")
            // The watch may reopen before the submission. In that case it first confirms the current document.
            var read = events.receive()
            while (read == NodeEvent.RevisionConfirmed(Revision(1))) read = events.receive()
            assertEquals("b", assertIs<NodeEvent.DocumentRead>(read).document?.submission)
            events.cancel()
        }
    }
}
