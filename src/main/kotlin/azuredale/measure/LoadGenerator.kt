package azuredale.measure

import azuredale.configuration.PoolKind
import kotlin.math.exp
import kotlin.math.pow
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** An interval in which one team sends [factor] times its usual load. */
internal data class Flood(
    val plan: TeamPlan,
    val from: Long,
    val until: Long,
    val factor: Double,
)

/**
 * Generates the load of [profile] from a seed, as a list of requests that does not depend on how they are served.
 *
 * The load is open-loop: arrivals do not wait for answers. Backlogged teams request 1.7 times their share of the
 * capacity, bursting teams 3 times their share during bursts, and light teams half of it.
 */
internal class LoadGenerator(
    private val profile: Profile,
    seed: Long,
    private val start: Long,
    private val end: Long,
    private val flood: Flood? = null,
) {
    private val random = Random(seed)
    private val gaussian = random.asJavaRandom()
    private val items = ArrayList<WorkItem>()

    fun generate(): List<WorkItem> {
        profile.pools.forEach { pool ->
            val requestRate = capacity(pool) / meanUnits(pool)
            val shareSum = profile.teams.sumOf { it.share }
            profile.teams.forEach { team -> addTeam(pool, team, requestRate * team.share / shareSum) }
        }
        return items.sortedBy { it.arrival }.mapIndexed { index, item ->
            item.copy(index = index, key = item.key?.let { "key-$index" })
        }
    }

    private fun addTeam(pool: PoolPlan, team: TeamPlan, entitledRate: Double) {
        val routers = RouterChoice(profile.routers)
        val prefixes = List(PREFIXES_PER_TEAM) { random.nextLong() }
        var isOn = random.nextBoolean()
        var switchAt = start + random.nextLong(EventQueue.SECOND, LONGEST_PHASE)
        var time = start
        while (time < end) {
            val rate = entitledRate * factor(team, isOn) * floodFactor(team, time)
            time += (exponential() / (if (rate > 0) rate else IDLE_RATE) * EventQueue.SECOND).toLong() + 1
            while (time > switchAt) {
                isOn = !isOn
                switchAt += random.nextLong(EventQueue.SECOND, LONGEST_PHASE)
            }
            if (time < end && factor(team, isOn) > 0) items.add(item(pool, team, time, routers.next(), prefixes))
        }
    }

    private fun item(pool: PoolPlan, team: TeamPlan, time: Long, router: Int, prefixes: List<Long>): WorkItem {
        val units = units(pool)
        return WorkItem(
            index = 0,
            arrival = time,
            team = team.id,
            pool = pool.id,
            router = router,
            units = units,
            duration = if (pool.kind == PoolKind.SERVICE) duration() else 0,
            hint = hint(units).takeIf { random.nextDouble() < HINT_PROBABILITY },
            prefix = prefixes.random(random).takeIf { pool.kind == PoolKind.MODEL && random.nextBoolean() },
            key = "".takeIf { pool.kind == PoolKind.SERVICE && random.nextDouble() < KEY_PROBABILITY },
        )
    }

    private fun factor(team: TeamPlan, isOn: Boolean): Double = when (team.role) {
        TeamRole.BACKLOGGED -> BACKLOG_FACTOR
        TeamRole.BURSTING -> if (isOn) BURST_FACTOR else 0.0
        TeamRole.LIGHT -> LIGHT_FACTOR
    }

    private fun floodFactor(team: TeamPlan, time: Long) =
        if (flood != null && flood.plan.id == team.id && time in flood.from..flood.until) flood.factor else 1.0

    private fun exponential(): Double = -kotlin.math.ln(1.0 - random.nextDouble())

    /** Draws a Pareto-distributed answer length, truncated so that the longest answer ends within a run. */
    private fun units(pool: PoolPlan): Int {
        if (pool.kind == PoolKind.SERVICE) return 1
        val pareto = SHORTEST_ANSWER / (1.0 - random.nextDouble()).pow(1.0 / PARETO_SHAPE)
        return pareto.coerceAtMost(LONGEST_ANSWER).toInt()
    }

    private fun hint(units: Int): Double = units * exp(HINT_SPREAD * gaussian.nextGaussian())

    private fun duration(): Long = (MEDIAN_DURATION * exp(DURATION_SPREAD * gaussian.nextGaussian())).toLong()

    private fun meanUnits(pool: PoolPlan): Double = List(SAMPLES) { units(pool) }.average()

    /** Returns the units per second of [pool] when every slot is busy. */
    private fun capacity(pool: PoolPlan): Double {
        val speeds =
            profile.servers
                .filterKeys {
                    profile.document.servers
                        .getValue(it)
                        .pool == pool.id
                }.values
                .sumOf { it.speed }
        val unitTime =
            when (pool.kind) {
                PoolKind.MODEL -> FULL_STEP
                PoolKind.SERVICE -> MEDIAN_DURATION * exp(DURATION_SPREAD * DURATION_SPREAD / 2)
            }
        return speeds * pool.concurrency / unitTime * EventQueue.SECOND
    }

    /** Picks the routers of a team with Zipf weights over a random order, so that each team has its own imbalance. */
    private inner class RouterChoice(count: Int) {
        private val order = (0 until count).shuffled(random)
        private val cumulated = order.indices.runningFold(0.0) { sum, rank -> sum + 1.0 / (rank + 1.0).pow(ZIPF_SKEW) }

        fun next(): Int {
            val point = random.nextDouble() * cumulated.last()
            return order[(cumulated.indexOfFirst { it > point } - 1).coerceIn(order.indices)]
        }
    }

    private companion object {
        const val BACKLOG_FACTOR = 1.7
        const val BURST_FACTOR = 3.0
        const val LIGHT_FACTOR = 0.5
        const val LONGEST_PHASE = 5 * EventQueue.SECOND

        /** Steps per second in which time advances through a phase without load. */
        const val IDLE_RATE = 5.0
        const val ZIPF_SKEW = 0.8
        const val SHORTEST_ANSWER = 40.0
        const val LONGEST_ANSWER = 600.0
        const val PARETO_SHAPE = 1.3
        const val HINT_PROBABILITY = 0.8
        const val HINT_SPREAD = 0.5
        const val KEY_PROBABILITY = 0.2
        const val MEDIAN_DURATION = 350_000.0
        const val DURATION_SPREAD = 0.6
        const val PREFIXES_PER_TEAM = 6
        const val SAMPLES = 20_000

        /** Microseconds of a step with a full batch of 8 at speed 1, including the mean cost of uncached prompts. */
        const val FULL_STEP = 41_000.0
    }
}
