@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.peers

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/** Own work of a router at one server: the server's short number, uncached tokens waiting, requests running. */
@Serializable
internal class LoadEntry(
    @CborLabel(1) val server: Int,
    @CborLabel(2) val waitingTokens: Int,
    @CborLabel(3) val running: Int,
)

/** A prompt part that a router has lately sent to a server. */
@Serializable
internal class ReadEntry(
    @CborLabel(1) val server: Int,
    @CborLabel(2) val part: String,
    @CborLabel(3) val tokens: Int,
)

/** Tokens that a team, by its short number, asked for and was given at a router within the window. */
@Serializable
internal class UsageEntry(
    @CborLabel(1) val team: Int,
    @CborLabel(2) val asked: Long,
    @CborLabel(3) val given: Long,
)

/** Where a router is met. */
@Serializable
internal class RouterEntry(
    @CborLabel(1) val router: String,
    @CborLabel(2) val host: String,
    @CborLabel(3) val peerPort: Int,
)

/** A table's version as its holder knows it, and the age of the proof that it is the newest. */
@Serializable
internal class ProofEntry(
    @CborLabel(1) val version: Long,
    @CborLabel(2) val age: Long,
)

/**
 * What one router tells all others, several times a second.
 *
 * Ages are in microseconds at the time of sending, -1 for none.
 */
@Serializable
internal class PeerReport(
    @CborLabel(1) val router: String,
    @CborLabel(2) val incarnation: Long,
    @CborLabel(3) val failureDomain: String,
    @CborLabel(4) val callerHost: String,
    @CborLabel(5) val callerPort: Int,
    @CborLabel(6) val weight: Double,
    @CborLabel(7) val isReady: Boolean,
    @CborLabel(8) val catalog: ProofEntry,
    @CborLabel(9) val directory: ProofEntry,
    @CborLabel(10) val loads: List<LoadEntry>,
    @CborLabel(11) val reads: List<ReadEntry>,
    @CborLabel(12) val routers: List<RouterEntry>,
    @CborLabel(13) val usage: List<UsageEntry> = emptyList(),
)

/**
 * One datagram.
 *
 * The echo lets the receiver place the report in its own time: the report was made at least [echoHeld] after the
 * receiver sent the datagram numbered [echo], however long this one was under way.
 *
 * @property sentAt the sender's steady time in microseconds, returned as [echo].
 * @property echo the latest [sentAt] received from the receiver, 0 for none.
 * @property echoHeld microseconds that the sender has held it.
 * @property echoIncarnation the process of the receiver whose time [echo] is; another process has another clock.
 */
@Serializable
internal class PeerDatagram(
    @CborLabel(1) val version: Int,
    @CborLabel(2) val sentAt: Long,
    @CborLabel(3) val echo: Long,
    @CborLabel(4) val echoHeld: Long,
    @CborLabel(5) val echoIncarnation: Long,
    @ByteString @CborLabel(6) val report: ByteArray,
)
