@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.peers

import azuredale.transport.CborLengths
import azuredale.transport.compactCbor

/** Encodes and decodes datagrams between routers. */
internal class PeerCodec {
    private val cbor = compactCbor()

    /** The bytes of [report], to be sent to any number of peers. */
    fun encodeReport(report: PeerReport): ByteArray = cbor.encodeToByteArray(PeerReport.serializer(), report)

    /** The bytes of [datagram]. */
    fun encode(datagram: PeerDatagram): ByteArray = cbor.encodeToByteArray(PeerDatagram.serializer(), datagram)

    /** The datagram in [bytes] with its report, or null when they are none. Never throws for any content. */
    fun decode(bytes: ByteArray): Pair<PeerDatagram, PeerReport>? = try {
        require(CborLengths.areWithin(bytes)) { "a declared length passes the end of the datagram" }
        val datagram = cbor.decodeFromByteArray(PeerDatagram.serializer(), bytes)
        require(datagram.version == VERSION) { "version ${datagram.version}" }
        require(CborLengths.areWithin(datagram.report)) { "a declared length passes the end of the report" }
        datagram to cbor.decodeFromByteArray(PeerReport.serializer(), datagram.report)
    } catch (_: RuntimeException) {
        null
    }

    companion object {
        const val VERSION = 1
    }
}
