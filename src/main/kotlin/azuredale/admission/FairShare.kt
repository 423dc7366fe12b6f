package azuredale.admission

/** Max-min fair allocation of capacity among teams. */
internal object FairShare {
    /**
     * Returns the max-min fair share: each team gets its demand, but no more than this value.
     *
     * Returns positive infinity when the capacity covers all demands, so that no team is limited.
     *
     * @param asked demand of each team.
     * @param capacity total amount to allocate.
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
