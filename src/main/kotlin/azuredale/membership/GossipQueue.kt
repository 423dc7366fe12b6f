package azuredale.membership

import azuredale.identity.RouterId

/** Claims that still have to be spread, within a byte budget; the least often sent go first. */
internal class GossipQueue(private val budget: ByteBudget) {
    private class Pending(
        var update: MemberUpdate,
        var sent: Int = 0,
    )

    private val pending = LinkedHashMap<RouterId, Pending>()

    val size: Int get() = pending.size

    /** Spreads [update] in place of any earlier claim about the same router. */
    fun add(update: MemberUpdate) {
        val carriesProfile = pending[update.router]?.update?.takeIf { it.incarnation == update.incarnation }?.profile
        pending[update.router] = Pending(update.copy(profile = update.profile ?: carriesProfile))
    }

    /** Claims for one datagram with room for [bytes], each sent at most [transmissions] times in all. */
    fun take(bytes: Int, transmissions: Int): List<MemberUpdate> {
        if (pending.isEmpty()) return emptyList()
        var room = bytes
        val chosen = ArrayList<MemberUpdate>()
        for (entry in pending.values.sortedBy { it.sent }) {
            val size = entry.update.estimatedBytes()
            if (size > room || !budget.spend(size)) break
            room -= size
            entry.sent++
            chosen += entry.update
        }
        pending.values.removeIf { it.sent >= transmissions }
        return chosen
    }
}

/** Upper estimate of the encoded size; the codec's test compares it with real sizes. */
internal fun MemberUpdate.estimatedBytes(): Int {
    val profileBytes =
        profile?.let {
            PROFILE_FIXED_BYTES + it.region.name.utf8Bytes() + it.failureDomain.name.utf8Bytes()
        }
    return UPDATE_FIXED_BYTES + router.name.utf8Bytes() + (profileBytes ?: 0)
}

private fun String.utf8Bytes(): Int = encodeToByteArray().size

/** Head, labels, 9 bytes of incarnation, version, state and flag. */
private const val UPDATE_FIXED_BYTES = 26

/** Head, labels, 9 bytes for each of three addresses and the weight. */
private const val PROFILE_FIXED_BYTES = 50
