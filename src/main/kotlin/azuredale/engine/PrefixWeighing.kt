package azuredale.engine

/** What reading a prompt part at a server, and keeping it there, costs and brings other callers, in milliseconds. */
internal object PrefixWeighing {
    /**
     * Number of requests that reading a prompt delays at a server, besides its own.
     *
     * They arrive until the server has read everything that waits, including what arrives meanwhile. The rate at which
     * requests arrive follows from those that run and how long each of them stays.
     *
     * @param running requests in progress at the server.
     * @param waitMilliseconds predicted time to the first event there.
     * @param holdMilliseconds time from the first event to the end of a request.
     * @param readMilliseconds time that the server takes to read what one request does not share.
     * @param slots requests that the server processes at once; no more than these are delayed.
     */
    fun requestsBehind(
        running: Int,
        waitMilliseconds: Double,
        holdMilliseconds: Double,
        readMilliseconds: Double,
        slots: Int,
    ): Double {
        val arrivals = arrivalsPerMillisecond(running, waitMilliseconds, holdMilliseconds)
        val utilization = (arrivals * readMilliseconds).coerceAtMost(MAXIMUM_UTILIZATION)
        return (arrivals * waitMilliseconds / (1 - utilization)).coerceIn(
            LEAST_BEHIND,
            maxOf(LEAST_BEHIND, slots.toDouble()),
        )
    }

    /** Part of a server's time that reading leaves, between 0 and 1; parameters as in [requestsBehind]. */
    fun spareTime(running: Int, waitMilliseconds: Double, holdMilliseconds: Double, readMilliseconds: Double): Double {
        val arrivals = arrivalsPerMillisecond(running, waitMilliseconds, holdMilliseconds)
        return (1 - arrivals * readMilliseconds).coerceIn(0.0, 1.0)
    }

    /**
     * What one more holder of a prompt part saves its callers within [PartDemand.WINDOW_SECONDS].
     *
     * The requests with the part spread evenly over its holders and arrive at random; each holder reads what they do
     * not share one after the other (the wait of an M/D/1 queue). Where they arrive faster than the holders read, the
     * queues grow all the time, and the further holder takes off as much as it has time for.
     *
     * @param ratePerSecond requests with the part.
     * @param readMilliseconds time to read the rest of such a prompt.
     * @param holders servers that keep the part.
     * @param spareTime part of its time that the further holder has for them.
     */
    fun valueOfAnotherHolder(
        ratePerSecond: Double,
        readMilliseconds: Double,
        holders: Int,
        spareTime: Double = 1.0,
    ): Double {
        if (holders == 0) return 0.0
        val utilization = ratePerSecond * readMilliseconds / MILLISECONDS_PER_SECOND
        val steady =
            steadyWait(readMilliseconds, utilization / holders) -
                steadyWait(readMilliseconds, utilization / (holders + 1))
        val growing = growingWait(utilization / holders) - growingWait(utilization / (holders + spareTime))
        return ratePerSecond * PartDemand.WINDOW_SECONDS * (steady + growing)
    }

    private fun arrivalsPerMillisecond(running: Int, waitMilliseconds: Double, holdMilliseconds: Double) =
        running / (waitMilliseconds + holdMilliseconds).coerceAtLeast(1.0)

    private fun steadyWait(readMilliseconds: Double, utilization: Double): Double {
        val bounded = utilization.coerceAtMost(MAXIMUM_UTILIZATION)
        return readMilliseconds * bounded / (2 * (1 - bounded))
    }

    /** Mean of the wait that an overloaded server adds within the window. */
    private fun growingWait(utilization: Double): Double = (utilization - MAXIMUM_UTILIZATION).coerceAtLeast(0.0) *
        PartDemand.WINDOW_SECONDS * MILLISECONDS_PER_SECOND / 2

    private const val MILLISECONDS_PER_SECOND = 1_000.0

    /** Keeps waits finite at a server that gets more than it can read. */
    private const val MAXIMUM_UTILIZATION = 0.9

    /** Loads reported by others are old, so a server that seems idle may have this many requests on their way. */
    const val LEAST_BEHIND = 3.0
}
