@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.peers

import azuredale.intake.SpareCapacity
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/**
 * Load that a router has placed on one server.
 *
 * @property server hash of the server's id.
 * @property waitingTokens prompt tokens waiting that are not cached at the server.
 * @property running number of requests running at the server.
 * @property recentRequests requests sent to the server within the last seconds, if it names a limit.
 * @property committedTokens memory that the router's requests in progress take or may still take, without shared parts.
 */
@Serializable
internal class LoadEntry(
    @CborLabel(1) val server: Int,
    @CborLabel(2) val waitingTokens: Int,
    @CborLabel(3) val running: Int,
    @CborLabel(4) val recentRequests: Int = 0,
    @CborLabel(5) val committedTokens: Int = 0,
)

/**
 * Limit that a server process names in its answers.
 *
 * @property requestsPerSecond null if the process no longer names a limit.
 * @property age milliseconds since the answer that said so was received.
 */
@Serializable
internal class LimitEntry(
    @CborLabel(1) val server: Int,
    @CborLabel(2) val startedAtMilliseconds: Long,
    @CborLabel(3) val requestsPerSecond: Double? = null,
    @CborLabel(4) val age: Long = 0,
)

/** A prompt part that a router recently sent to a server, given by the hash of its id, which probably cached it. */
@Serializable
internal class ReadEntry(
    @CborLabel(1) val server: Int,
    @CborLabel(2) val part: String,
    @CborLabel(3) val tokens: Int,
)

/** Tokens that a team, given by the hash of its name, requested and was granted at a router within the usage window. */
@Serializable
internal class UsageEntry(
    @CborLabel(1) val team: Int,
    @CborLabel(2) val requested: Long,
    @CborLabel(3) val granted: Long,
)

/**
 * A pool whose servers have had several software versions lately.
 *
 * @property noteAge milliseconds since the store was known to have a note of it, null if it never was.
 */
@Serializable
internal class MixedPoolEntry(
    @CborLabel(1) val pool: String,
    @CborLabel(2) val noteAge: Long? = null,
)

/** Peer address of a router. */
@Serializable
internal class RouterEntry(
    @CborLabel(1) val router: String,
    @CborLabel(2) val host: String,
    @CborLabel(3) val peerPort: Int,
)

/**
 * What a router says of itself.
 *
 * @property spareQuarters quarters of its capacity that are spare; 0 if it is crowded.
 */
@Serializable
internal class RouterState(
    @CborLabel(1) val router: String,
    @CborLabel(2) val incarnation: Long,
    @CborLabel(3) val failureDomain: String,
    @CborLabel(4) val callerHost: String,
    @CborLabel(5) val callerPort: Int,
    @CborLabel(6) val weight: Double,
    @CborLabel(7) val isReady: Boolean,
    @CborLabel(8) val isOverloaded: Boolean = false,
    @CborLabel(9) val spareQuarters: Int = SpareCapacity.ALL,
)

/**
 * State of one router as passed on by the relay of its failure domain.
 *
 * @property age milliseconds since the router described itself so, or, if it is silent, since it was last heard from.
 * @property isAlive whether the relay counts the router as alive.
 */
@Serializable
internal class RelayedRouter(
    @CborLabel(1) val state: RouterState,
    @CborLabel(2) val host: String,
    @CborLabel(3) val peerPort: Int,
    @CborLabel(4) val isAlive: Boolean,
    @CborLabel(5) val age: Long,
)

/** Set of routers whose loads and usage a report adds up. */
internal enum class ReportScope {
    /** The sender alone. */
    ROUTER,

    /** The sender's failure domain; relays send it to each other. */
    FAILURE_DOMAIN,

    /** All routers, including the receiver; a relay sends it to the routers of its failure domain. */
    FLEET,
}

/** Version of a table as known to the sender, and the age of the proof that this version was the newest. */
@Serializable
internal class ProofEntry(
    @CborLabel(1) val version: Long,
    @CborLabel(2) val age: Long,
)

/**
 * State that a router sends to others several times a second.
 *
 * Ages of proofs are in microseconds at the time of sending; -1 means that there is none.
 *
 * @property scope ordinal of the [ReportScope] that [loads] and [usage] add up.
 * @property relayed routers that the sender knows of, if it is a relay.
 * @property crashes server crashes that the sender recently learned more of.
 * @property limits limits of servers that changed recently.
 * @property liveness when the sender last heard from the routers that it knows, if it is a relay: [PackedLiveness].
 * @property quarantine the quarantine table as known to the sender, null if it knows none.
 * @property evacuations the evacuated failure domains as known to the sender, null if it knows of no table.
 * @property mixedPools pools whose servers have had several software versions lately.
 * @property era the era of the store's history, null if the store names none.
 * @property directoryNews the latest changes of the directory; null in fleets without relays.
 */
@Serializable
@Suppress("LongParameterList")
internal class PeerReport(
    @CborLabel(1) val sender: RouterState,
    @CborLabel(2) val catalog: CatalogProofEntry,
    @CborLabel(3) val directory: ProofEntry,
    @CborLabel(4) val loads: List<LoadEntry>,
    @CborLabel(5) val reads: List<ReadEntry>,
    @CborLabel(6) val routers: List<RouterEntry>,
    @CborLabel(7) val usage: List<UsageEntry> = emptyList(),
    @CborLabel(8) val scope: Int = 0,
    @CborLabel(9) val relayed: List<RelayedRouter> = emptyList(),
    @CborLabel(10) val crashes: List<CrashEntry> = emptyList(),
    @CborLabel(11) val quarantine: QuarantineEntry? = null,
    @CborLabel(12) val limits: List<LimitEntry> = emptyList(),
    @CborLabel(13) val evacuations: EvacuationEntry? = null,
    @ByteString @CborLabel(14) val liveness: ByteArray? = null,
    @CborLabel(15) val mixedPools: List<MixedPoolEntry> = emptyList(),
    @CborLabel(16) val era: EraEntry? = null,
    @CborLabel(20) val directoryNews: DirectoryNews? = null,
)

/**
 * A datagram with a report.
 *
 * The echo lets the receiver date the report by its own clock: the report was created at least [echoDelay] after the
 * receiver sent the datagram with the time [echoedTime], however long this datagram was in transit.
 *
 * @property sentAt time of sending by the sender's monotonic clock, in microseconds, returned as [echoedTime].
 * @property echoedTime the latest [sentAt] that the sender got from the receiver, or 0 if there is none.
 * @property echoDelay microseconds between the arrival of that datagram and the sending of this one.
 * @property echoIncarnation incarnation of the receiver that sent [echoedTime]; each incarnation has its own clock.
 */
@Serializable
internal class PeerDatagram(
    @CborLabel(1) val version: Int,
    @CborLabel(2) val sentAt: Long,
    @CborLabel(3) val echoedTime: Long,
    @CborLabel(4) val echoDelay: Long,
    @CborLabel(5) val echoIncarnation: Long,
    @ByteString @CborLabel(6) val report: ByteArray,
)
