package azuredale.report

/** Ring buffer of request counts in [slots] slots of [minutesPerSlot] minutes; a new slot overwrites the oldest. */
internal class CountRingBuffer(
    private val slots: Int,
    private val minutesPerSlot: Int,
) {
    private val slotPeriods = IntArray(slots) { -1 }
    private val values = IntArray(slots * FIELDS)

    /** Adds [counts] to the slot of [minute]; corrections may be negative. Ignored once the slot has been reused. */
    fun add(minute: Long, counts: WindowCounts) {
        val period = (minute / minutesPerSlot).toInt()
        val slot = period % slots
        if (slotPeriods[slot] > period) return
        if (slotPeriods[slot] < period) {
            slotPeriods[slot] = period
            values.fill(0, slot * FIELDS, (slot + 1) * FIELDS)
        }
        values[slot * FIELDS] += counts.ended.toInt()
        values[slot * FIELDS + 1] += counts.missed.toInt()
        values[slot * FIELDS + 2] += counts.failed.toInt()
    }

    /** Sums the counts of the [minutes] minutes up to and including [lastMinute]. */
    fun sum(lastMinute: Long, minutes: Int): WindowCounts {
        val last = (lastMinute / minutesPerSlot).toInt()
        val first = last - minutes / minutesPerSlot + 1
        return (first..last).fold(WindowCounts.ZERO) { sum, period -> sum + at(period) }
    }

    private fun at(period: Int): WindowCounts {
        val slot = period % slots
        if (period < 0 || slotPeriods[slot] != period) return WindowCounts.ZERO
        val base = slot * FIELDS
        return WindowCounts(values[base].toLong(), values[base + 1].toLong(), values[base + 2].toLong())
    }

    private companion object {
        const val FIELDS = 3
    }
}

/** Counts of one team in one pool: per minute for one hour and per ten minutes for six hours; takes about 1.5 KB. */
internal class WindowedCounts {
    private val minutes = CountRingBuffer(slots = 60, minutesPerSlot = 1)
    private val tenMinuteSlots = CountRingBuffer(slots = 36, minutesPerSlot = 10)

    fun add(minute: Long, counts: WindowCounts) {
        minutes.add(minute, counts)
        tenMinuteSlots.add(minute, counts)
    }

    fun sum(lastMinute: Long, window: BurnWindow): WindowCounts = when {
        window.minutes <= MINUTES_PER_HOUR -> minutes.sum(lastMinute, window.minutes)
        else -> tenMinuteSlots.sum(lastMinute, window.minutes)
    }

    fun minute(minute: Long): WindowCounts = minutes.sum(minute, 1)

    private companion object {
        const val MINUTES_PER_HOUR = 60
    }
}

/**
 * Time windows of the burn-rate alerts.
 *
 * An alert fires only while both windows of its pair reach the threshold: the long window ignores short spikes, and
 * the short window clears the alert soon after the cause is gone.
 */
public enum class BurnWindow(
    public val minutes: Int,
    public val label: String,
) {
    FAST_SHORT(5, "5m"),
    FAST_LONG(60, "1h"),
    SLOW_SHORT(30, "30m"),
    SLOW_LONG(360, "6h"),
}
