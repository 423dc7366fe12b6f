package azuredale.sharing

import azuredale.blackboard.LockRank
import azuredale.blackboard.Table
import azuredale.identity.ServerId

/** The blackboard tables owned by the allotter. */
internal class AllotterTables {
    val demand = Table<GrantKey, OfferRow>("allotter demand", OWNER, DEMAND_ROWS, LockRank.ALLOTTER_DEMAND)
    val grants = Table<GrantKey, GrantRow>("grants", OWNER, GRANT_ROWS, LockRank.GRANTS)
    val servers = Table<ServerId, ServerRow>("servers", OWNER, SERVER_ROWS, LockRank.SERVERS)

    /** Runs [block] with all tables locked, in ascending lock rank. */
    inline fun <R> locked(crossinline block: () -> R): R =
        demand.locked { grants.locked { servers.locked { block() } } }

    companion object {
        const val OWNER = "AllotterController"
        const val DEMAND_ROWS = 131_072
        const val GRANT_ROWS = 65_536
        const val SERVER_ROWS = 1_024
    }
}
