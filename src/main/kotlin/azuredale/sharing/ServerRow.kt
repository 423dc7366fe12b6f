package azuredale.sharing

import azuredale.identity.FailureDomain
import azuredale.identity.ServerId
import azuredale.protocol.ShardId
import azuredale.time.Timestamp

/** State of a backend server at the allotter of [shard]. */
internal class ServerRow(
    val id: ServerId,
    val shard: ShardId,
    var failureDomain: FailureDomain,
    slots: Int,
    lookAhead: Int,
) {
    val limit = ServerLimit(slots, lookAhead)
    val health = ServerHealth()

    var inFlight: Int = 0
        private set

    fun isFree(now: Timestamp): Boolean = limit.free(inFlight, now) > 0 && inFlight < health.maximumInFlight(now)

    fun occupy() {
        inFlight++
        limit.inFlightChanged(inFlight)
    }

    fun release() {
        inFlight--
    }
}
