package azuredale.admission

/** Max-min shares of what was given in a window. */
internal object FairShare {
    /**
     * The level to which the capacity fills the teams: each team gets what it asks up to the level.
     *
     * @param asked what each team asked for.
     * @param capacity what can be given in all; a level above all demands means that nobody is limited.
     */
    fun level(asked: Collection<Long>, capacity: Long): Double {
        var remaining = capacity.toDouble()
        var teams = asked.size
        for (demand in asked.sorted()) {
            val even = remaining / teams
            if (demand > even) return even
            remaining -= demand
            teams--
        }
        return Double.POSITIVE_INFINITY
    }
}
