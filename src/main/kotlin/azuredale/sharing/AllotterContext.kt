package azuredale.sharing

import azuredale.configuration.Document
import azuredale.identity.PoolId
import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.node.NodeEffect
import azuredale.protocol.PeerMessage
import azuredale.protocol.ShardId
import azuredale.time.Timestamp

/**
 * Input and output of the allotter for one event: the state read from other controllers and the effects collected.
 *
 * @property isPrimaryUnreachable whether this router cannot reach the primary allotter of a shard.
 */
internal class AllotterContext(
    val now: Timestamp,
    val document: Document,
    val shardMap: ShardMap,
    val members: Map<RouterId, Member>,
    val mayGiveOutWork: Boolean,
    val log: SharingLog,
    val isPrimaryUnreachable: (ShardId) -> Boolean,
) {
    val effects = mutableListOf<NodeEffect>()

    fun initialCost(pool: PoolId): Double = document.pools[pool]?.initialCost ?: 1.0

    fun send(to: RouterId, message: PeerMessage) {
        effects += NodeEffect.SendMessage(to, message)
    }
}
