package azuredale.routing

import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId

/**
 * Settings of the HTTP edge.
 *
 * @property address where callers connect; port 0 takes a free one.
 * @property headerLimit most headers of a request.
 * @property headerBytes largest head of a request.
 * @property headSeconds time in which a new connection must send its first whole head.
 * @property bodySeconds time in which the body of a request must arrive.
 * @property requestDeadlineSeconds longest deadline of a request.
 * @property answerBytes largest completion text that is collected for a caller that does not stream.
 * @property serviceBufferBytes an answer of a plain service up to this size is delivered only when it is whole.
 * @property keptBytes largest answer that is kept for repeats.
 * @property callerQueueBytes written bytes that a slow caller may leave unread before reading from the server pauses.
 * @property stallMilliseconds an engine that sends nothing for this long counts as failed, so that the answer is
 * continued elsewhere.
 * @property progressMilliseconds shortest time between two reports of one attempt's progress.
 * @property connectionsPerServer most connections to one backend server.
 * @property eventLoops event loops that serve callers.
 */
public data class EdgeSettings(
    val router: RouterId,
    val incarnation: Incarnation,
    val address: NetworkAddress,
    val requestBytes: Int = 4_194_304,
    val headerLimit: Int = 64,
    val headerBytes: Int = 16_384,
    val headSeconds: Long = 10,
    val bodySeconds: Long = 30,
    val requestDeadlineSeconds: Long = 300,
    val answerBytes: Int = 4_194_304,
    val serviceBufferBytes: Int = 262_144,
    val keptBytes: Int = 65_536,
    val callerQueueBytes: Int = 65_536,
    val connectMilliseconds: Int = 1_000,
    val stallMilliseconds: Long = 20_000,
    val progressMilliseconds: Long = 20,
    val connectionsPerServer: Int = 512,
    val eventLoops: Int = 4,
)
