package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.directory.ServerDirectory
import azuredale.directory.process
import azuredale.identity.FailureDomain
import azuredale.identity.PartId
import azuredale.identity.Region
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/** Why a server may not get a request; the reasons are checked in this order. */
internal enum class Ineligibility {
    /** The server process is no longer registered, or it is registered as leaving. */
    NOT_REGISTERED,

    /** Operators have evacuated the failure domain of the server. */
    EVACUATED,

    /** The route or the team of the request is confined to other regions. */
    OUTSIDE_HOMES,

    /** The stream goes on only at another software version, or may not yet begin at this one. */
    OTHER_SOFTWARE_VERSION,

    /** An earlier attempt of the request was sent to the server, or failed to reach it. */
    ALREADY_TRIED,

    /** The server said that it leaves, or that it wants no requests for a while. */
    UNWILLING,

    /** Recent requests failed at the server. */
    CIRCUIT_OPEN,

    /** The server has just started, and gets no more requests now than it tolerates. */
    COLD,

    /** The rate of requests that the server takes from all routers together is used up. */
    LIMIT_USED_UP,

    /** Requests in progress take the server's memory, or the request is larger than it. */
    NO_ROOM,
}

/** The servers that may get a request. */
internal sealed interface Eligibility {
    /** At least one of [servers] may get the request. */
    class Servers(val servers: List<BackendEntry>) : Eligibility

    /** No server may get the request. */
    class None(val selection: ServerSelection) : Eligibility
}

/** Decides which of the candidates, which are among the servers of the pool, have room for a request. */
private typealias RoomFunction =
    (List<BackendEntry>, SelectionRequest, List<BackendEntry>, Timestamp) -> RoomDecision

/**
 * Decides which servers may get a request. Every reason not to choose a server is checked here and nowhere else.
 *
 * A server whose circuit is open is still used when the circuits of all servers that want the request are open.
 *
 * @param isEvacuated whether operators have evacuated a failure domain.
 * @param regionOf the region of a failure domain, null if it is unknown; its servers get no confined requests.
 */
internal class ServerEligibility(
    private val directory: () -> ServerDirectory,
    private val statistics: ServerStatistics,
    private val isEvacuated: (FailureDomain) -> Boolean = { false },
    private val regionOf: (FailureDomain) -> Region? = { null },
) {
    /** Whether the process that [server] registers may get a request that was selected for it before [now]. */
    fun mayUse(server: BackendEntry, now: Timestamp): Boolean = isRegistered(server) &&
        !isEvacuated(server.failureDomain) &&
        statistics.announcements.allowsRequest(server, now)

    /** Why [server] may not get [request] at [now], or null if it may; has no effect. */
    fun ineligibility(server: BackendEntry, request: SelectionRequest, now: Timestamp): Ineligibility? = when {
        !isRegistered(server) -> Ineligibility.NOT_REGISTERED
        else ->
            refusalOf(server, request, now) ?: when {
                !statistics.circuitBreaker(server.id).allowsRequest(now) -> Ineligibility.CIRCUIT_OPEN
                !toleratesRequest(server, now) -> Ineligibility.COLD
                else -> lack(server, request, directory().ready(request.pool), now)
            }
    }

    /** The servers that may get [request]; records how often limits or memory leave none. */
    fun assess(request: SelectionRequest, now: Timestamp): Eligibility {
        val eligible = candidates(request, statistics.room::decide, now)
        val selection = (eligible as? Eligibility.None)?.selection
        val isUsedUp = selection is ServerSelection.LimitsUsedUp || selection is ServerSelection.NoRoom
        if (isUsedUp || eligible is Eligibility.Servers) statistics.limitPressure.record(request.pool, isUsedUp, now)
        return eligible
    }

    /** The servers that may get [request]; has no effect. */
    fun candidates(request: SelectionRequest, now: Timestamp): Eligibility =
        candidates(request, statistics.room::preview, now)

    private fun candidates(request: SelectionRequest, decideRoom: RoomFunction, now: Timestamp): Eligibility {
        val ready = directory().ready(request.pool)
        val available = available(request, ready, now)
        if (available.isEmpty()) return Eligibility.None(unwilling(request, ready, now))
        val permitted = permitted(available, ready, now)
        if (permitted.isEmpty()) return Eligibility.None(ServerSelection.LimitsUsedUp)
        return when (val room = decideRoom(permitted, request, ready, now)) {
            is RoomDecision.Servers ->
                Eligibility.Servers(request.confinedTo?.let { confined(room.servers, it) } ?: room.servers)
            is RoomDecision.TooLarge -> Eligibility.None(ServerSelection.TooLarge)
            is RoomDecision.Taken -> Eligibility.None(ServerSelection.NoRoom(room.missingTokens, room.freeAt))
        }
    }

    /** Those of the [ready] servers that want [request], without those whose circuit is open if there are others. */
    private fun available(request: SelectionRequest, ready: List<BackendEntry>, now: Timestamp): List<BackendEntry> {
        val closed = ArrayList<BackendEntry>(ready.size)
        var open: MutableList<BackendEntry>? = null
        for (server in ready) {
            when {
                refusalOf(server, request, now) != null -> Unit
                statistics.circuitBreaker(server.id).allowsRequest(now) -> closed += server
                else -> (open ?: ArrayList<BackendEntry>().also { open = it }) += server
            }
        }
        return closed.ifEmpty { open.orEmpty() }
    }

    /** Those of the [available] servers that tolerate a request now, and whose limits leave one. */
    private fun permitted(available: List<BackendEntry>, ready: List<BackendEntry>, now: Timestamp) =
        if (statistics.limits.limitedServers.isEmpty() && available.none { it.isCold }) {
            available
        } else {
            available.filter { toleratesRequest(it, now) && statistics.limits.allowsRequest(it, ready, now) }
        }

    /** Why a registered [server] and [request] rule each other out for good, or until a known time. */
    private fun refusalOf(server: BackendEntry, request: SelectionRequest, now: Timestamp): Ineligibility? = when {
        isEvacuated(server.failureDomain) -> Ineligibility.EVACUATED
        request.homes?.contains(regionOf(server.failureDomain)) == false -> Ineligibility.OUTSIDE_HOMES
        request.softwareVersions?.contains(server.softwareVersion) == false -> Ineligibility.OTHER_SOFTWARE_VERSION
        server.id in request.excluded -> Ineligibility.ALREADY_TRIED
        !statistics.announcements.allowsRequest(server, now) -> Ineligibility.UNWILLING
        else -> null
    }

    private fun isRegistered(server: BackendEntry): Boolean {
        val current = directory().entries[server.id] ?: return false
        return current.state == BackendState.READY && current.process == server.process
    }

    private fun toleratesRequest(server: BackendEntry, now: Timestamp) =
        statistics.coldServers?.allowsRequest(server, now) != false

    /** What [server], one of the [ready] servers of the pool, has not enough of for [request]. */
    private fun lack(
        server: BackendEntry,
        request: SelectionRequest,
        ready: List<BackendEntry>,
        now: Timestamp,
    ): Ineligibility? = when {
        !statistics.limits.allowsRequest(server, ready, now) -> Ineligibility.LIMIT_USED_UP
        !hasRoom(server, request, ready, now) -> Ineligibility.NO_ROOM
        else -> null
    }

    private fun hasRoom(
        server: BackendEntry,
        request: SelectionRequest,
        ready: List<BackendEntry>,
        now: Timestamp,
    ): Boolean {
        val candidates = permitted(available(request, ready, now), ready, now)
        val room = statistics.room.preview(candidates, request, ready, now)
        return room is RoomDecision.Servers && server in room.servers
    }

    /** The result if none of the [ready] servers wants the request. */
    private fun unwilling(request: SelectionRequest, ready: List<BackendEntry>, now: Timestamp): ServerSelection {
        val until =
            ready
                .filter { refusalOf(it, request, now) == Ineligibility.UNWILLING }
                .minOfOrNull { statistics.announcements.availableAt(it, now) } ?: Timestamp.DISTANT_FUTURE
        if (until < Timestamp.DISTANT_FUTURE) return ServerSelection.OnHold(until)
        val evacuated = ready.count { isEvacuated(it.failureDomain) }
        val versions = request.softwareVersions?.joinToString(prefix = " with software version ").orEmpty()
        val detail = "none of ${ready.size} servers of ${request.pool} accepts requests$versions"
        return ServerSelection.Unavailable("$detail, $evacuated in evacuated failure domains")
    }

    /** The same server on all routers that agree on [available]. */
    private fun confined(available: List<BackendEntry>, part: PartId): List<BackendEntry> =
        listOfNotNull(available.maxByOrNull { StableHash.fraction(part.name, it.id.name) })
}
