@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.peers

import azuredale.transport.CborLengths
import azuredale.transport.compactCbor

/** Encodes and decodes the datagrams that routers exchange. */
internal class PeerCodec {
    private val cbor = compactCbor()

    /** Encodes [report] once, for use in datagrams to any number of peers. */
    fun encodeReport(report: PeerReport): ByteArray = cbor.encodeToByteArray(PeerReport.serializer(), report)

    /** Encodes [datagram]. */
    fun encode(datagram: PeerDatagram): ByteArray = cbor.encodeToByteArray(PeerDatagram.serializer(), datagram)

    /** Decodes a datagram and the report in it. Returns null for invalid input and never throws. */
    fun decode(bytes: ByteArray): Pair<PeerDatagram, PeerReport>? = try {
        require(CborLengths.areValid(bytes)) { "CBOR item extends past the end of the datagram" }
        val datagram = cbor.decodeFromByteArray(PeerDatagram.serializer(), bytes)
        require(datagram.version == VERSION) { "unsupported datagram version ${datagram.version}" }
        require(CborLengths.areValid(datagram.report)) { "CBOR item extends past the end of the report" }
        datagram to cbor.decodeFromByteArray(PeerReport.serializer(), datagram.report)
    } catch (_: RuntimeException) {
        null
    }

    companion object {
        const val VERSION = 5

        /** Largest datagram that a router receives whole; relays of large fleets send several kilobytes. */
        const val MAXIMUM_DATAGRAM_BYTES = 65_536
    }
}
