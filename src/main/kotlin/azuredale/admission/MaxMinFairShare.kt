package azuredale.admission

/** Max-min fair allocation of capacity among teams. */
internal object MaxMinFairShare {
    /**
     * Returns the max-min fair share: each team gets its demand, but no more than this value.
     *
     * Returns positive infinity when the capacity covers all demands, so that no team is limited.
     *
     * @param demands demand of each team.
     * @param capacity total amount to allocate.
     */
    fun compute(demands: Collection<Long>, capacity: Long): Double {
        var remaining = capacity.toDouble()
        var teams = demands.size
        for (demand in demands.sorted()) {
            val evenShare = remaining / teams
            if (demand > evenShare) return evenShare
            remaining -= demand
            teams--
        }
        return Double.POSITIVE_INFINITY
    }
}
