package azuredale.resumption

import azuredale.gateway.Timer
import azuredale.identity.NetworkAddress
import azuredale.identity.SoftwareVersion
import azuredale.peers.Peer
import azuredale.sharing.StableHash
import azuredale.time.Clock
import azuredale.time.Timestamp
import kotlinx.coroutines.CompletableDeferred

/**
 * Tells other routers at which software version streams began, and asks them.
 *
 * Each stream has a few home routers, the highest ranks for it of those that are alive. They outlive the router that
 * began the stream, and whoever gets the stream's caller next asks them. A router that is killed takes what it was told
 * with it; the next ranks are asked as well, since routers may differ in whom they regard as alive.
 *
 * @param peers the other routers.
 */
internal class OriginExchange(
    private val origins: StreamOrigins,
    private val peers: () -> Collection<Peer>,
    private val send: (NetworkAddress, ByteArray) -> Unit,
    private val timer: (Timestamp, () -> Unit) -> Timer,
    private val clock: Clock,
) {
    private class Question(var unanswered: Int) {
        val answer = CompletableDeferred<StreamOrigin?>()
    }

    private val codec = OriginCodec()
    private val questions = HashMap<StreamId, Question>()

    /** Tells the homes of [stream] that it began at [version]. */
    fun tell(stream: StreamId, version: SoftwareVersion) {
        val message = codec.encode(OriginMessage(listOf(entry(stream, version))))
        homes(stream, TOLD_ROUTERS).forEach { send(it.address, message) }
    }

    /** Tells the homes of all streams that this router began lately. */
    fun tellAll(now: Timestamp) {
        val entries = HashMap<NetworkAddress, MutableList<OriginEntry>>()
        origins.own(now).forEach { (stream, version) ->
            homes(stream, TOLD_ROUTERS).forEach { home ->
                entries.getOrPut(home.address) { ArrayList() } += entry(stream, version)
            }
        }
        entries.forEach { (address, rows) ->
            rows.chunked(ENTRIES_PER_DATAGRAM).forEach { send(address, codec.encode(OriginMessage(it))) }
        }
    }

    /**
     * Asks the homes of [stream], or all routers if [asksAll], for its origin; null if none of them knows it, or none
     * answers in time.
     */
    suspend fun ask(stream: StreamId, asksAll: Boolean): StreamOrigin? {
        val asked = homes(stream, if (asksAll) Int.MAX_VALUE else ASKED_ROUTERS)
        if (asked.isEmpty()) return null
        val known = questions[stream]
        val question = known ?: Question(asked.size).also { questions[stream] = it }
        if (known == null) {
            val message = codec.encode(OriginMessage(question = stream.value))
            asked.forEach { send(it.address, message) }
            timer(clock().plusMilliseconds(ANSWER_MILLISECONDS)) { end(stream, question, null) }
        }
        return question.answer.await()
    }

    /** Handles a datagram of [from]; returns false if it is malformed. */
    fun received(from: NetworkAddress, bytes: ByteArray, now: Timestamp): Boolean {
        val message = codec.decode(bytes) ?: return false
        message.origins.forEach { entry ->
            val stream = StreamId(entry.stream)
            origins.record(stream, SoftwareVersion(entry.version), isOwn = false, now)
            questions[stream]?.let { end(stream, it, origins.find(stream, now)) }
        }
        message.unknown?.let { value ->
            val stream = StreamId(value)
            questions[stream]?.let { if (--it.unanswered <= 0) end(stream, it, null) }
        }
        message.question?.let { send(from, answer(StreamId(it), now)) }
        return true
    }

    private fun answer(stream: StreamId, now: Timestamp): ByteArray {
        val origin = origins.find(stream, now)
        return codec.encode(
            if (origin is StreamOrigin.Known) {
                OriginMessage(listOf(entry(stream, origin.version)))
            } else {
                OriginMessage(unknown = stream.value)
            },
        )
    }

    private fun end(stream: StreamId, question: Question, origin: StreamOrigin?) {
        if (questions[stream] === question) questions.remove(stream)
        question.answer.complete(origin)
    }

    private fun homes(stream: StreamId, count: Int): List<Peer> = peers()
        .filter { it.isAlive }
        .sortedByDescending { StableHash.mixed(it.hash xor stream.value) }
        .take(count)

    private fun entry(stream: StreamId, version: SoftwareVersion) = OriginEntry(stream.value, version.name)

    private companion object {
        /** A stream's origin is lost only if these and the router that began it are killed together. */
        const val TOLD_ROUTERS = 2

        /** The homes, and those that were homes for routers that regard fewer as alive. */
        const val ASKED_ROUTERS = 4

        /** Several round trips between failure domains; a small part of the shortest latency targets. */
        const val ANSWER_MILLISECONDS = 100L

        /** About 1 KB, which no link fragments. */
        const val ENTRIES_PER_DATAGRAM = 64
    }
}
