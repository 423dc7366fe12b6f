package azuredale.routing

import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.RouterId

/**
 * Settings of the HTTP edge.
 *
 * @property address address to listen on; port 0 selects a free port.
 * @property maximumRequestBytes maximum size of a request body.
 * @property maximumHeaders maximum number of headers in a request.
 * @property maximumHeadBytes maximum size of a request head.
 * @property headTimeoutSeconds timeout for the first request head on a new connection.
 * @property bodyTimeoutSeconds timeout for receiving a request body.
 * @property requestDeadlineSeconds maximum and default time from a request's arrival to its deadline.
 * @property maximumCompletionLength maximum length of the completion text that is buffered for a non-streaming caller.
 * @property serviceBufferBytes responses of plain services up to this size are buffered and delivered once complete.
 * @property maximumStoredBytes maximum size of a response body that is stored for duplicates.
 * @property callerQueueBytes size of a caller's write queue; while it is full, reading from the backend server pauses.
 * @property connectTimeoutMilliseconds timeout for connecting to a backend server.
 * @property stallTimeoutMilliseconds an engine that sends no data for this time is treated as failed, and the response
 * is continued at another engine.
 * @property progressIntervalMilliseconds minimum interval between progress reports of an attempt.
 * @property maximumConnectionsPerServer maximum number of connections to one backend server.
 * @property eventLoops number of event loops that serve callers.
 */
public data class EdgeSettings(
    val router: RouterId,
    val incarnation: Incarnation,
    val address: NetworkAddress,
    val maximumRequestBytes: Int = 4_194_304,
    val maximumHeaders: Int = 64,
    val maximumHeadBytes: Int = 16_384,
    val headTimeoutSeconds: Long = 10,
    val bodyTimeoutSeconds: Long = 30,
    val requestDeadlineSeconds: Long = 300,
    val maximumCompletionLength: Int = 4_194_304,
    val serviceBufferBytes: Int = 262_144,
    val maximumStoredBytes: Int = 65_536,
    val callerQueueBytes: Int = 65_536,
    val connectTimeoutMilliseconds: Int = 1_000,
    val stallTimeoutMilliseconds: Long = 20_000,
    val progressIntervalMilliseconds: Long = 20,
    val maximumConnectionsPerServer: Int = 512,
    val eventLoops: Int = 4,
)
