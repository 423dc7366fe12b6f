package azuredale.measure

import org.HdrHistogram.Histogram

/** A target of section 1.3 of the design page. */
internal sealed interface Target {
    val limit: Double

    /** The figure must be at most [limit] times that of the global queue. */
    data class RatioAtMost(override val limit: Double) : Target

    /** The figure must be at least [limit] times that of the global queue. */
    data class RatioAtLeast(override val limit: Double) : Target

    /** The figure itself must be at most [limit]. */
    data class AtMost(override val limit: Double) : Target
}

/** One figure of the system and of both baselines; null means not applicable or not observed. */
internal data class Figure(
    val name: String,
    val unit: String,
    val system: Double?,
    val global: Double? = null,
    val isolated: Double? = null,
    val target: Target? = null,
) {
    val ratio: Double? get() = if (system == null || global == null || global == 0.0) null else system / global

    /** Whether the target is met; null if there is no target or no value to compare. */
    val isMet: Boolean? get() =
        when (target) {
            null -> null
            is Target.RatioAtMost -> ratio?.let { it <= target.limit }
            is Target.RatioAtLeast -> ratio?.let { it >= target.limit }
            is Target.AtMost -> system?.let { it <= target.limit }
        }
}

/** Computes the figures of section 1.3 of the design page from a finished experiment. */
internal class Figures(private val result: ExperimentResult) {
    private val fault = result.fault

    fun all(): List<Figure> = result.profile.pools.flatMap(::ofPool) + ofTraffic()

    private fun ofPool(pool: PoolPlan): List<Figure> {
        val compare = PoolComparison(result, pool)
        val gapTarget = if (fault in WITHOUT_OUTAGE) Target.RatioAtMost(GAP_WITHOUT_FAULT) else null
        val utilisation = if (fault in WITHOUT_OUTAGE) Target.RatioAtLeast(pool.minimumUtilisation) else null
        val wait =
            when (fault) {
                in WITHOUT_OUTAGE -> Target.RatioAtMost(2.0)
                Fault.ALLOTTER_LOST -> Target.RatioAtMost(3.0)
                else -> null
            }
        return listOf(
            compare.figure("gap", "units/share", gapTarget ?: faultGapTarget()) {
                it.windows
                    .first()
                    .gap.figure
                    ?.gap
            },
            compare.figure("gap by largest request", "times", null, ::gapMultiple),
            compare.figure("utilisation", "share", utilisation) { it.utilisations.first().share },
            compare.figure("longest wait of smallest team", "s", wait) { it.waitOf(result.profile.smallestTeam) },
            compare.figure("longest time without service", "s", null) { it.longestStarvation?.second?.let(::seconds) },
            compare.figure("completed", "requests", null) { it.completed.toDouble() },
        ) + latencies(compare) + FaultFigures(result, pool).all()
    }

    private fun faultGapTarget(): Target? =
        if (fault == Fault.ALLOTTER_LOST) Target.RatioAtMost(GAP_DURING_FAULT) else null

    private fun gapMultiple(meter: PoolMeter): Double? {
        val figure =
            meter.windows
                .first()
                .gap.figure ?: return null
        val teams = result.profile.document.teams
        val share = minOf(teams.getValue(figure.first).share, teams.getValue(figure.second).share)
        return figure.gap / (meter.largestCost / share)
    }

    private fun latencies(compare: PoolComparison): List<Figure> = PERCENTILES.flatMap { percentile ->
        val label = "p${percentile.toInt()}"
        listOfNotNull(
            compare.figure(
                "first token of light teams $label",
                "ms",
                null,
            ) { it.firstUnitDelay.milliseconds(percentile) },
            if (compare.isModel) {
                compare.figure("between tokens $label", "ms", null) { it.interUnitDelay.milliseconds(percentile) }
            } else {
                null
            },
        )
    }

    private fun ofTraffic(): List<Figure> {
        val traffic = result.traffic
        val nodes = traffic.sent.size
        val completed =
            result.system.recorder.meters.values
                .sumOf { it.completed }
        val worst = maxOf(traffic.sent.max(), traffic.received.max())
        return listOf(
            Figure("control bytes per request", "B", traffic.sent.sum().toDouble() / completed, target = REQUEST_BYTES),
            Figure(
                "control bytes per node, mean",
                "B/s",
                traffic.sent.sum() / nodes / traffic.seconds,
                target = NODE_BYTES_PER_S,
            ),
            Figure("control bytes per node, worst", "B/s", worst / traffic.seconds, target = NODE_BYTES_PER_S),
            Figure("control messages per node, mean", "1/s", traffic.messages.sum() / nodes / traffic.seconds),
            Figure("control messages per node, worst", "1/s", traffic.messages.max() / traffic.seconds),
            Figure("control messages per request", "", traffic.messages.sum().toDouble() / completed),
            Figure("calls to the platform", "1/s", traffic.platformCalls / traffic.seconds),
            Figure("calls to the platform for keys", "1/s", traffic.claimCalls / traffic.seconds),
        )
    }

    companion object {
        const val GAP_WITHOUT_FAULT: Double = 1.5
        const val GAP_DURING_FAULT: Double = 3.0
        private val REQUEST_BYTES = Target.AtMost(600.0)
        private val NODE_BYTES_PER_S = Target.AtMost(9_000.0)
        private val PERCENTILES = listOf(50.0, 95.0, 99.0)

        /** Runs in which no component fails; the design page gives no own targets for the two faults among them. */
        private val WITHOUT_OUTAGE = setOf(null, Fault.FLOOD, Fault.LOSSY)

        fun seconds(microseconds: Long): Double = microseconds.toDouble() / EventQueue.SECOND

        private fun PoolMeter.waitOf(team: azuredale.identity.TeamId) = longestWaits[team]?.let(::seconds)

        private fun Histogram.milliseconds(percentile: Double): Double? =
            if (totalCount == 0L) null else getValueAtPercentile(percentile) / EventQueue.MILLISECOND.toDouble()
    }
}

/** Builds the figures of one pool from the three runs. */
internal class PoolComparison(
    private val result: ExperimentResult,
    private val pool: PoolPlan,
) {
    val isModel: Boolean get() = pool.kind == azuredale.configuration.PoolKind.MODEL

    fun figure(name: String, unit: String, target: Target?, value: (PoolMeter) -> Double?) = Figure(
        name = "${pool.id}: $name",
        unit = unit,
        system = value(result.system.meter(pool.id)),
        global = value(result.global.meter(pool.id)),
        isolated = value(result.isolated.meter(pool.id)),
        target = target,
    )

    fun windowFigure(name: String, unit: String, target: Target?, value: (FaultWindows) -> Double?) = Figure(
        name = "${pool.id}: $name",
        unit = unit,
        system = value(result.system.windows.getValue(pool.id)),
        global = value(result.global.windows.getValue(pool.id)),
        isolated = value(result.isolated.windows.getValue(pool.id)),
        target = target,
    )
}
