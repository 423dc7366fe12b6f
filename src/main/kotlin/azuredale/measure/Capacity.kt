package azuredale.measure

import java.util.Locale

/** Measures one router's share of the design size and prints a row for each figure to [output]; returns 0. */
public fun runCapacity(output: Appendable): Int = runCapacity(CapacitySize(), output)

internal fun runCapacity(size: CapacitySize, output: Appendable, seed: Long = 1): Int {
    val rows = CapacityProbe(size, seed).rows()
    val width = rows.maxOf { it.name.length }
    output.appendLine("$size, seed $seed")
    rows.forEach { output.appendLine("%s  %14.1f %s".format(Locale.ROOT, it.name.padEnd(width), it.value, it.unit)) }
    return MeasureExit.KEPT
}
