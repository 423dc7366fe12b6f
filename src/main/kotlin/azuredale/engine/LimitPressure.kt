package azuredale.engine

import azuredale.identity.PoolId
import azuredale.time.Timestamp
import kotlin.math.exp

/**
 * How often servers' limits or their memory recently left no server of a pool for a request of this router.
 *
 * While that happens, requests of teams above their fair share are refused earlier, so that the others find a server.
 */
internal class LimitPressure {
    private class Average(var updatedAt: Timestamp) {
        var value = 0.0
    }

    private val averages = HashMap<PoolId, Average>()

    /** Records whether a selection in [pool] failed because the limits or the memory were used up. */
    fun record(pool: PoolId, isUsedUp: Boolean, now: Timestamp) {
        if (!isUsedUp && pool !in averages) return
        val average = averages.getOrPut(pool) { Average(now) }
        average.value = decayed(average, now)
        average.updatedAt = now
        if (isUsedUp) average.value += (1 - average.value) * WEIGHT
    }

    /** A number between 0, if there was always a server, and 1, if there was never one. */
    fun current(pool: PoolId, now: Timestamp): Double = averages[pool]?.let { decayed(it, now) } ?: 0.0

    private fun decayed(average: Average, now: Timestamp): Double =
        average.value * exp(-now.microsecondsSince(average.updatedAt) / DECAY_MICROSECONDS)

    private companion object {
        const val WEIGHT = 0.2
        const val DECAY_MICROSECONDS = 1_000_000.0
    }
}
