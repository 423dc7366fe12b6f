package azuredale.blackboard

/** Verifies per thread that table locks are acquired in ascending [LockRank], to detect potential deadlocks. */
internal object LockOrder {
    private val held = ThreadLocal.withInitial { ArrayDeque<LockRank>() }

    fun enter(tableName: String, rank: LockRank, alreadyHeld: Boolean) {
        val ranks = held.get()
        val highest = ranks.maxOrNull()
        check(alreadyHeld || highest == null || highest <= rank) {
            "lock order violated: acquiring table $tableName ($rank) while holding $highest"
        }
        ranks.addLast(rank)
    }

    fun leave(rank: LockRank) {
        val ranks = held.get()
        check(ranks.removeLastOrNull() == rank) { "lock order violated: lock of rank $rank released out of order" }
    }
}
