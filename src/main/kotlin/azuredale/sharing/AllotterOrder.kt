package azuredale.sharing

import azuredale.identity.Region
import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.membership.MemberState
import azuredale.protocol.ShardId
import kotlin.math.ln

/** Weighted rendezvous order in which routers allot a shard. */
internal object AllotterOrder {
    /**
     * Members of [region] in order of preference for [shard]; a null region means every member.
     *
     * Draining members come last, so that a shard has an allotter even when the whole region drains.
     */
    fun of(shard: ShardId, region: Region?, members: Collection<Member>): List<RouterId> = members
        .filter { it.state == MemberState.ALIVE || it.state == MemberState.SUSPECT }
        .filter { region == null || it.region == region }
        .sortedWith(compareBy<Member> { it.isDraining }.thenByDescending { score(shard, it) }.thenBy { it.router.name })
        .map { it.router }

    /** With this score a member comes first with a probability proportional to its weight. */
    private fun score(shard: ShardId, member: Member): Double {
        val fraction = StableHash.fraction(shard.pool.name, shard.shard.toString(), member.router.name)
        return member.weight / -ln(fraction)
    }
}
