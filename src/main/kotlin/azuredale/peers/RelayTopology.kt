package azuredale.peers

import azuredale.gateway.GatewaySettings
import azuredale.identity.FailureDomain
import azuredale.identity.RouterId
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/**
 * Decides which routers exchange reports with each other.
 *
 * In a small fleet every router reports to all others. In a larger one the routers of a failure domain report to one of
 * them, the relay, and the relays report sums to each other and to the routers of their failure domain. So the reports
 * of a router do not grow with the fleet, and those of a relay grow with its failure domain. Every router elects the
 * relays from its own view; routers that disagree for a moment only have older loads.
 */
internal class RelayTopology(
    private val settings: GatewaySettings,
    private val table: PeerTable,
    private val isSelfReady: () -> Boolean,
) {
    private val ownHash = StableHash.of(settings.router.name)
    private var relays: Map<FailureDomain, RouterId> = emptyMap()

    /** Whether every router reports to all others. */
    val isMesh: Boolean get() = table.all.size < MAXIMUM_MESH_ROUTERS

    /** Whether this router is the relay of its failure domain. */
    val isRelay: Boolean get() = !isMesh && relays[settings.failureDomain] == settings.router

    /** Zero-based position of this router in an order in which routers read the store; relays are first. */
    var rank = 0
        private set

    /** The relay that this router reports to, or null if it is a relay itself or there is none. */
    val ownRelay: RouterId?
        get() = if (isMesh) null else relays[settings.failureDomain]?.takeIf { it != settings.router }

    /** Updates relays and rank to the current state of the table. */
    fun update(now: Timestamp) {
        relays = if (isMesh) emptyMap() else electRelays(now)
        val isFirst = isRelay
        rank =
            table.all.count { peer ->
                val isPeerFirst = relays[peer.failureDomain] == peer.router
                peer.isAlive && if (isPeerFirst == isFirst) peer.hash < ownHash else isPeerFirst
            }
    }

    /** Whether [peer] belongs to this router's failure domain. */
    fun isInOwnDomain(peer: Peer): Boolean = peer.failureDomain == settings.failureDomain

    /** What the next report to [peer] adds up, or null if [peer] gets no report now. */
    fun scopeFor(peer: Peer, now: Timestamp): ReportScope? = when {
        isMesh -> ReportScope.ROUTER.takeIf { peer.isAlive || now >= peer.nextRetryAt }
        peer.failureDomain == null -> ReportScope.ROUTER.takeIf { now >= peer.nextRetryAt }
        !peer.isAlive -> ReportScope.ROUTER.takeIf { isProbed(peer) && now >= peer.nextRetryAt }
        !isRelay -> ReportScope.ROUTER.takeIf { peer.router == ownRelay }
        isInOwnDomain(peer) -> ReportScope.FLEET
        else -> ReportScope.FAILURE_DOMAIN.takeIf { relays[peer.failureDomain] == peer.router }
    }

    /** What an early report to [peer] adds up, or null if [peer] gets none: only routers that use the loads do. */
    fun earlyScopeFor(peer: Peer, now: Timestamp): ReportScope? =
        if (isMesh || !peer.isAlive || peer.failureDomain == null) null else scopeFor(peer, now)

    /** Records that a report of [scope] is sent to [peer]; relays that report to each other expect reports. */
    fun recordSent(peer: Peer, scope: ReportScope, now: Timestamp) {
        if (scope != ReportScope.FAILURE_DOMAIN) return
        if (now >= peer.contactedAt.plusMilliseconds(CONTACT_MILLISECONDS)) peer.contactedAt = now
    }

    /**
     * Whether [peer] is silent although this router reports to it as to a relay.
     *
     * Other routers may not yet have noticed that, so that their reports still count it as alive.
     */
    private fun isUnresponsive(peer: Peer, now: Timestamp): Boolean = isRelay &&
        !isInOwnDomain(peer) &&
        now >= peer.contactedAt.plusMilliseconds(RESPONSE_MILLISECONDS) &&
        now < peer.contactedAt.plusMilliseconds(CONTACT_MILLISECONDS) &&
        now >= peer.lastReportReceivedAt.plusMilliseconds(RESPONSE_MILLISECONDS)

    /** A relay looks for silent routers of its failure domain, and for failure domains that are silent as a whole. */
    private fun isProbed(peer: Peer): Boolean = isRelay && (isInOwnDomain(peer) || peer.failureDomain !in relays)

    private fun electRelays(now: Timestamp): Map<FailureDomain, RouterId> {
        val best = HashMap<FailureDomain, Candidate>()
        val self = Candidate(settings.router, isSelfReady(), settings.weight, ownHash)
        best[settings.failureDomain] = self
        table.all.forEach { peer ->
            val domain = peer.failureDomain
            if (peer.isAlive && domain != null && !isUnresponsive(peer, now)) {
                best.merge(domain, Candidate(peer.router, peer.isReady, peer.weight, peer.hash), ::better)
            }
        }
        return best.mapValues { it.value.router }
    }

    private fun better(first: Candidate, second: Candidate): Candidate =
        if (CANDIDATE_ORDER.compare(first, second) >= 0) first else second

    private class Candidate(
        val router: RouterId,
        val isReady: Boolean,
        val weight: Double,
        val hash: Long,
    )

    private companion object {
        /** Up to this fleet size, reports to all others cost less than a relay's additional hop. */
        const val MAXIMUM_MESH_ROUTERS = 12

        /** Several report periods. */
        const val RESPONSE_MILLISECONDS = 800L

        /** After this time a relay that was silent is tried again. */
        const val CONTACT_MILLISECONDS = 4_000L

        /** A relay handles more messages than other routers, so it runs on a large VM that is not stopping. */
        val CANDIDATE_ORDER: Comparator<Candidate> =
            compareBy<Candidate> { it.isReady }.thenBy { it.weight }.thenBy { it.hash }
    }
}
