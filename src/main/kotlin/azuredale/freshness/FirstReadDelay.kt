package azuredale.freshness

import azuredale.time.Timestamp

/**
 * Holds back the first reads of a router that starts beside many others, which may already know what it would read.
 *
 * A router that is alone, or one of few, reads as soon as it knows that. What another router reports as newer is read
 * at once, whatever this delay.
 *
 * @param startedAt when this router started.
 * @param hash hash of this router's name, which spreads the reads of routers that hear nothing.
 */
internal class FirstReadDelay(
    private val startedAt: Timestamp,
    hash: Long,
) {
    private val spread = Math.floorMod(hash, SPREAD_MILLISECONDS)
    private var listedAt: Timestamp? = null

    /** Records that this router has listed the registered routers, or could not list them. */
    fun recordListed(now: Timestamp) {
        if (listedAt == null) listedAt = now
    }

    /** Whether first reads still wait at [now]; [isSmallFleet] if so few routers are known that each reads itself. */
    fun isHeld(now: Timestamp, isSmallFleet: Boolean): Boolean {
        if (now >= startedAt.plusMilliseconds(LONGEST_MILLISECONDS)) return false
        val listed = listedAt ?: return true
        return !isSmallFleet && now < listed.plusMilliseconds(ANSWER_MILLISECONDS + spread)
    }

    private companion object {
        /** Longer than a report and its answer take, also on a small VM that is still loading its program. */
        const val ANSWER_MILLISECONDS = 250L

        /** The routers of a large fleet that hear nothing read one after the other. */
        const val SPREAD_MILLISECONDS = 400L

        /** A router that cannot register reads after this time; small beside the time in which it has to catch up. */
        const val LONGEST_MILLISECONDS = 1_000L
    }
}
