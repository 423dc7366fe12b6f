package azuredale.membership

import azuredale.identity.RouterId

/**
 * Membership updates that still have to be sent to other routers, within a byte budget.
 *
 * Updates without a profile are sent before those with one, so that many simultaneous joins do not delay a refutation.
 * Within each group, the updates sent least often are sent first.
 */
internal class GossipQueue(private val budget: ByteTokenBucket) {
    private class Pending(
        var update: MemberUpdate,
        var sent: Int = 0,
    )

    private val pending = LinkedHashMap<RouterId, Pending>()

    val size: Int get() = pending.size

    /** Queues [update], replacing any queued update about the same router. */
    fun add(update: MemberUpdate) {
        val queuedProfile = pending[update.router]?.update?.takeIf { it.incarnation == update.incarnation }?.profile
        pending[update.router] = Pending(update.copy(profile = update.profile ?: queuedProfile))
    }

    /** Records that [update] was also received from another router, so that this node sends it fewer times itself. */
    fun recordDuplicate(update: MemberUpdate) {
        val entry = pending[update.router] ?: return
        if (update.copy(profile = null) != entry.update.copy(profile = null)) return
        entry.sent += if (entry.update.profile != null) DUPLICATE_JOIN_WEIGHT else DUPLICATE_WEIGHT
    }

    /** Returns updates for one datagram, up to [bytes] in total. Each update is sent at most [transmissions] times. */
    fun take(bytes: Int, transmissions: Int): List<MemberUpdate> {
        if (pending.isEmpty()) return emptyList()
        var remainingBytes = bytes
        val chosen = ArrayList<MemberUpdate>()
        for (entry in pending.values.sortedWith(order)) {
            val size = entry.update.estimatedBytes()
            if (size > remainingBytes || !budget.tryConsume(size)) break
            remainingBytes -= size
            entry.sent++
            chosen += entry.update
        }
        pending.values.removeIf { it.sent >= transmissions }
        return chosen
    }

    private companion object {
        /** Without this weight, 390 simultaneous joins cost 300 KB per node and exhausted the budget for minutes. */
        const val DUPLICATE_JOIN_WEIGHT = 2
        const val DUPLICATE_WEIGHT = 1
        val order = compareBy<Pending>({ it.update.profile != null }, { it.sent })
    }
}

/** Upper bound on the encoded size of this update; addresses and the incarnation count as 64-bit numbers. */
internal fun MemberUpdate.estimatedBytes(): Int {
    val versionBytes = if (version == 0) 0 else LABEL_BYTES + numberBytes(version)
    val stateBytes = if (state == MemberState.ALIVE) 0 else LABEL_BYTES + 1
    val flagBytes = if (isDraining) LABEL_BYTES + 1 else 0
    val fixedBytes = MAP_BYTES + LABEL_BYTES + textBytes(router.name) + LABEL_BYTES + LONG_BYTES
    return fixedBytes + versionBytes + stateBytes + flagBytes +
        (profile?.let { LABEL_BYTES + it.estimatedBytes() } ?: 0)
}

private fun MemberProfile.estimatedBytes(): Int {
    val nameBytes = 2 * LABEL_BYTES + textBytes(region.name) + textBytes(failureDomain.name)
    val weightBytes = if (weight == 1.0) 0 else LABEL_BYTES + LONG_BYTES
    return MAP_BYTES + nameBytes + ADDRESSES * (LABEL_BYTES + LONG_BYTES) + weightBytes
}

private fun textBytes(text: String): Int = text.encodeToByteArray().size.let { numberBytes(it) + it }

private fun numberBytes(value: Int): Int = when {
    value < SHORT_NUMBER -> 1
    value < BYTE_NUMBER -> 2
    value < TWO_BYTE_NUMBER -> 3
    else -> 5
}

private const val MAP_BYTES = 1
private const val LABEL_BYTES = 1
private const val LONG_BYTES = 9
private const val ADDRESSES = 3
private const val SHORT_NUMBER = 24
private const val BYTE_NUMBER = 256
private const val TWO_BYTE_NUMBER = 65_536
