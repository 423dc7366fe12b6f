package azuredale.measure

/**
 * Fleet size for which the capacity probe fills the controllers; the defaults are in section 1.4 of the design page.
 *
 * @property backlogged number of teams of one pool that have work queued at every router.
 * @property rounds number of timed calls per row, after as many warm-up calls.
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
