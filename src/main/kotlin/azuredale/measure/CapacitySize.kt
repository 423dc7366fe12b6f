package azuredale.measure

/**
 * Size at which the capacity probe fills the controllers; the defaults are those of section 1.4 of the design.
 *
 * @property backlogged teams with work queued at every router, of one pool.
 * @property rounds calls that are timed for each row, after as many for warming up.
 */
internal data class CapacitySize(
    val routers: Int = 390,
    val teams: Int = 2_900,
    val servers: Int = 800,
    val models: Int = 24,
    val failureDomains: Int = 5,
    val backlogged: Int = 24,
    val rounds: Int = 2_000,
)

/** One measured figure. */
internal data class CapacityRow(
    val name: String,
    val value: Double,
    val unit: String,
)
