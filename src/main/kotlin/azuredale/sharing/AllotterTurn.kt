package azuredale.sharing

import azuredale.configuration.Document
import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.node.NodeEffect
import azuredale.protocol.PeerMessage
import azuredale.time.Timestamp

/** What the allotter reads of other controllers while it handles one event, and the effects it collects. */
internal class AllotterTurn(
    val now: Timestamp,
    val document: Document,
    val shardMap: ShardMap,
    val members: Map<RouterId, Member>,
    val mayGiveOutWork: Boolean,
) {
    val effects = mutableListOf<NodeEffect>()

    fun send(to: RouterId, message: PeerMessage) {
        effects += NodeEffect.SendMessage(to, message)
    }
}
