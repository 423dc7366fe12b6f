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
        val arrivalsPerMillisecond = running / (waitMilliseconds + holdMilliseconds).coerceAtLeast(1.0)
        val utilization = (arrivalsPerMillisecond * readMilliseconds).coerceAtMost(MAXIMUM_UTILIZATION)
        return (arrivalsPerMillisecond * waitMilliseconds / (1 - utilization)).coerceIn(
            LEAST_BEHIND,
            maxOf(LEAST_BEHIND, slots.toDouble()),
        )
    }

    /**
     * What one more holder of a prompt part saves its callers within [PartDemand.WINDOW_SECONDS].
     *
     * The requests with the part spread evenly over its holders and arrive at random; each holder reads what they do
     * not share one after the other (the wait of an M/D/1 queue).
     *
     * @param ratePerSecond requests with the part.
     * @param readMilliseconds time to read the rest of such a prompt.
     * @param holders servers that keep the part.
     */
    fun valueOfAnotherHolder(ratePerSecond: Double, readMilliseconds: Double, holders: Int): Double {
        if (holders == 0) return 0.0
        val saved = wait(ratePerSecond, readMilliseconds, holders) - wait(ratePerSecond, readMilliseconds, holders + 1)
        return ratePerSecond * PartDemand.WINDOW_SECONDS * saved
    }

    private fun wait(ratePerSecond: Double, readMilliseconds: Double, holders: Int): Double {
        val utilization =
            (ratePerSecond * readMilliseconds / MILLISECONDS_PER_SECOND / holders).coerceAtMost(MAXIMUM_UTILIZATION)
        return readMilliseconds * utilization / (2 * (1 - utilization))
    }

    private const val MILLISECONDS_PER_SECOND = 1_000.0

    /** Keeps waits finite at a server that gets more than it can read. */
    private const val MAXIMUM_UTILIZATION = 0.9

    /** Loads reported by others are old, so a server that seems idle may have this many requests on their way. */
    const val LEAST_BEHIND = 3.0
}
