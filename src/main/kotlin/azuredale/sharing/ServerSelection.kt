package azuredale.sharing

import azuredale.configuration.Document
import azuredale.configuration.Requirement
import azuredale.identity.FailureDomain
import azuredale.time.Timestamp

/** Selects a backend server with a free slot for a request. */
internal class ServerSelection(private val prefixes: PrefixIndex) {
    /**
     * Returns the best server of [rows] that has a free slot and may run the request, or null.
     *
     * @param prefix fingerprint of the request's prompt prefix.
     * @param domain failure domain of the router that will send the request.
     */
    fun choose(
        rows: Collection<ServerRow>,
        document: Document,
        requirement: Requirement,
        prefix: Long?,
        domain: FailureDomain?,
        now: Timestamp,
    ): ServerRow? {
        val free = rows.filter { it.isFree(now) && document.allows(it.id, requirement) }
        if (free.size <= 1) return free.firstOrNull()
        val measured = free.map { it.limit.speed }.filter { it > 0 }
        val averageSpeed = if (measured.isEmpty()) 1.0 else measured.average()
        return free.maxWith(compareBy<ServerRow> { score(it, averageSpeed, prefix, domain) }.thenBy { it.id.name })
    }

    /** Expected speed of one more request, weighted by the benefit of a cached prefix and of network proximity. */
    private fun score(row: ServerRow, averageSpeed: Double, prefix: Long?, domain: FailureDomain?): Double {
        val speed = if (row.limit.speed > 0) row.limit.speed else averageSpeed
        val affinity = if (prefix != null && prefixes.holds(prefix, row.id)) PREFIX_WEIGHT else 1.0
        val locality = if (row.failureDomain == domain) DOMAIN_WEIGHT else 1.0
        return speed / (row.inFlight + 1) * affinity * locality
    }

    private companion object {
        const val PREFIX_WEIGHT = 1.5
        const val DOMAIN_WEIGHT = 1.1
    }
}
