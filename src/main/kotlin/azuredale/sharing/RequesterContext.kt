package azuredale.sharing

import azuredale.configuration.Document
import azuredale.identity.RequestNumber
import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.node.NodeEffect
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.protocol.PeerMessage
import azuredale.protocol.ShardId
import azuredale.protocol.TeamDemand
import azuredale.time.Timestamp

/** Input and output of the requester for one event: state read from other controllers and the effects collected. */
internal class RequesterContext(
    val now: Timestamp,
    val document: Document,
    val shardMap: ShardMap,
    val members: Map<RouterId, Member>,
    val mayGiveOutWork: Boolean,
    val log: SharingLog,
) {
    val effects = mutableListOf<NodeEffect>()

    /** Changes of demand, sent as one message per shard after the event. */
    val demands = LinkedHashMap<ShardId, MutableList<TeamDemand>>()

    /** Withdrawn offers, sent as one message per shard after the event. */
    val withdrawals = LinkedHashMap<ShardId, MutableList<RequestNumber>>()

    fun send(to: RouterId, message: PeerMessage) {
        effects += NodeEffect.SendMessage(to, message)
    }

    fun refuse(number: RequestNumber, kind: ErrorKind, detail: String = "", retryAt: Timestamp? = null) {
        effects += NodeEffect.SlotRefused(number, Failure(kind, detail, retryAt))
    }

    fun demand(shard: ShardId, report: TeamDemand) {
        demands.getOrPut(shard) { mutableListOf() } += report
    }

    fun withdraw(shard: ShardId, number: RequestNumber) {
        withdrawals.getOrPut(shard) { mutableListOf() } += number
    }
}
