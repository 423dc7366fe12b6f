package azuredale.sharing

import azuredale.identity.Region
import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.membership.MemberState
import azuredale.protocol.ShardId
import kotlin.math.ln

/** Ranks the candidate allotters of a shard by weighted rendezvous hashing. */
internal object AllotterOrder {
    /**
     * Members of [region] in order of preference for [shard]; a null region selects all members.
     *
     * Draining members come last, so that a shard keeps an allotter even when the whole region is draining.
     */
    fun of(shard: ShardId, region: Region?, members: Collection<Member>): List<RouterId> = members
        .filter { it.state == MemberState.ALIVE || it.state == MemberState.SUSPECT }
        .filter { region == null || it.region == region }
        .sortedWith(compareBy<Member> { it.isDraining }.thenByDescending { score(shard, it) }.thenBy { it.router.name })
        .map { it.router }

    /** Rendezvous score; a member ranks first with a probability proportional to its weight. */
    private fun score(shard: ShardId, member: Member): Double {
        val fraction = StableHash.fraction(shard.pool.name, shard.shard.toString(), member.router.name)
        return member.weight / -ln(fraction)
    }
}
