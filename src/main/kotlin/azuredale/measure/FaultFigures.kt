package azuredale.measure

/** Figures of one pool around a fault: utilisation, recovery time, gap on each side of a partition, gap over time. */
internal class FaultFigures(
    private val result: ExperimentResult,
    private val pool: PoolPlan,
) {
    private val compare = PoolComparison(result, pool)

    fun all(): List<Figure> = when (val fault = result.fault) {
        null, Fault.LOSSY, Fault.FLOOD -> emptyList()
        else ->
            listOf(
                compare.windowFigure(
                    "utilisation around the fault",
                    "share",
                    utilisation(fault),
                ) { it.utilisation.share },
                Figure("${pool.id}: time back to 1.5 times", "s", recoveryTime(), target = recovery(fault)),
            ) + sides() + gapOverTime()
    }

    private fun utilisation(fault: Fault) = when (fault) {
        Fault.ALLOTTER_LOST -> Target.RatioAtLeast(limit = 0.93)
        Fault.PARTITION_REJOIN -> Target.RatioAtLeast(limit = 0.90)
        else -> null
    }

    private fun recovery(fault: Fault) = when (fault) {
        Fault.ALLOTTER_LOST -> Target.AtMost(5.0)
        Fault.PARTITION_REJOIN -> Target.AtMost(10.0)
        else -> null
    }

    private fun sides(): List<Figure> {
        val names = listOf("gap within the small side", "gap within the large side")
        return result.system.windows.getValue(pool.id).sides.indices.map { side ->
            compare.windowFigure(names[side], "units/share", Target.RatioAtMost(Figures.GAP_DURING_FAULT)) {
                it.sides[side]
                    .gap.figure
                    ?.gap
            }
        }
    }

    /** Returns the gap over intervals that begin at or after each of several times since the end of the fault. */
    private fun gapOverTime(): List<Figure> = (0..Experiment.RECOVERY_STEPS step REPORTED_STEP).map { step ->
        val label = Figures.seconds(step * Experiment.RECOVERY_STEP)
        compare.windowFigure("gap from $label s after", "units/share", null) {
            it.recovery[step]
                .gap.figure
                ?.gap
        }
    }

    /** Returns the seconds until the gap stays within 1.5 times that of the global queue, or null if it never does. */
    private fun recoveryTime(): Double? {
        val own =
            result.system.windows
                .getValue(pool.id)
                .recovery
        val global =
            result.global.windows
                .getValue(pool.id)
                .recovery
        val lastOver =
            own.indices.lastOrNull { step ->
                val limit =
                    global[step]
                        .gap.figure
                        ?.gap
                        ?.times(Figures.GAP_WITHOUT_FAULT) ?: return@lastOrNull false
                (own[step].gap.figure?.gap ?: 0.0) > limit
            }
        return when (lastOver) {
            null -> 0.0
            own.lastIndex -> null
            else -> Figures.seconds((lastOver + 1) * Experiment.RECOVERY_STEP)
        }
    }

    private companion object {
        const val REPORTED_STEP = 2
    }
}
