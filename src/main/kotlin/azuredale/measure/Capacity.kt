package azuredale.measure

import java.util.Locale

/** Measures one router in a fleet of the design size, prints one row per figure to [output] and returns 0. */
public fun runCapacity(output: Appendable): Int = runCapacity(CapacitySize(), output)

internal fun runCapacity(size: CapacitySize, output: Appendable, seed: Long = 1): Int {
    val rows = CapacityProbe(size, seed).rows()
    val width = rows.maxOf { it.name.length }
    output.appendLine("$size, seed $seed")
    rows.forEach { output.appendLine("%s  %14.1f %s".format(Locale.ROOT, it.name.padEnd(width), it.value, it.unit)) }
    return MeasureExit.PASSED
}
