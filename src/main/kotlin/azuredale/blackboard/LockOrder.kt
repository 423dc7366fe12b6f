package azuredale.blackboard

/** Checks for each thread that table locks are taken in ascending [LockRank]. */
internal object LockOrder {
    private val held = ThreadLocal.withInitial { ArrayDeque<LockRank>() }

    fun enter(tableName: String, rank: LockRank, alreadyHeld: Boolean) {
        val ranks = held.get()
        val highest = ranks.maxOrNull()
        check(alreadyHeld || highest == null || highest <= rank) {
            "lock order violated: table $tableName ($rank) is taken while $highest is held"
        }
        ranks.addLast(rank)
    }

    fun leave(rank: LockRank) {
        val ranks = held.get()
        check(ranks.removeLastOrNull() == rank) { "lock of rank $rank is released out of order" }
    }
}
