package azuredale.membership

import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.protocol.Confirmation
import azuredale.protocol.ProbeKind
import azuredale.protocol.ProbeMessage
import azuredale.transport.FrameFault
import azuredale.transport.MessageAuthenticator
import azuredale.transport.allocatedBytes
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** jqwik prints the seed of each property and reruns a failed property with the same seed. */
class DatagramFuzzTest {
    private val key = ByteArray(32) { 3 }
    private val codec = DatagramCodec(key)

    private fun member(nameBytes: Int, version: Int, state: MemberState) = Member(
        RouterId("r".repeat(nameBytes)),
        Incarnation(1_700_000_000_000_000),
        state,
        Region("north"),
        FailureDomain("d".repeat(nameBytes)),
        NetworkAddress("10.0.0.1", 7001),
        NetworkAddress("255.255.255.255", 65_535),
        NetworkAddress("0.0.0.1", 1),
        weight = 2.5,
        isDraining = true,
        version = version,
    )

    private fun message(kind: ProbeKind, updates: List<MemberUpdate>) = ProbeMessage(
        kind,
        RouterId("r-1"),
        77,
        RouterId("r-2"),
        Revision(5),
        Confirmation(Revision(5), 120),
        updates,
        90_000,
        -1_234,
    )

    @Test
    fun `decoding returns the encoded message for every kind`() {
        val updates =
            MemberState.entries.flatMap { state ->
                listOf(true, false).map { member(6, 300, state).toUpdate(withProfile = it) }
            }
        ProbeKind.entries.forEach { kind ->
            val sent = message(kind, updates)
            assertEquals(sent, assertIs<DatagramResult.Decoded>(codec.decode(codec.encode(sent))).message)
        }
    }

    @Property(tries = 300, seed = "20261204")
    fun `the estimated size of an update is at least its encoded size and at most 12 bytes more`(
        @ForAll @IntRange(min = 1, max = 300) nameBytes: Int,
        @ForAll @IntRange(min = 0, max = 100_000) version: Int,
        @ForAll withProfile: Boolean,
    ) {
        // Guards against datagrams that exceed their maximum size and are split into IP fragments.
        val update = member(nameBytes, version, MemberState.SUSPECT).toUpdate(withProfile)
        val empty = codec.encode(message(ProbeKind.PING, listOf(update))).size
        val size = codec.encode(message(ProbeKind.PING, listOf(update, update))).size - empty
        assertTrue(update.estimatedBytes() in size..size + 12, "estimated ${update.estimatedBytes()}, encoded $size")
    }

    @Property(tries = 2_000, seed = "20261204")
    fun `random bytes are refused`(
        @ForAll @Size(max = 300) bytes: ByteArray,
    ) {
        assertIs<DatagramResult.Refused>(codec.decode(bytes))
    }

    @Provide
    fun mutations(): Arbitrary<List<Pair<Int, Byte>>> = Arbitraries
        .integers()
        .between(0, 4_095)
        .flatMap { position -> Arbitraries.bytes().map { position to it } }
        .list()
        .ofMinSize(1)
        .ofMaxSize(6)

    @Property(tries = 3_000, seed = "20261204")
    fun `mutated content with a valid authentication code neither throws nor allocates past the bound`(
        @ForAll("mutations") changes: List<Pair<Int, Byte>>,
    ) {
        val updates = List(3) { member(8, 2, MemberState.ALIVE).toUpdate(withProfile = true) }
        val datagram = codec.encode(message(ProbeKind.PING, updates))
        val end = datagram.size - MessageAuthenticator.MAC_BYTES
        changes.forEach { (position, value) -> datagram[1 + position % (end - 1)] = value }
        val before = codec.decode(datagram)
        MessageAuthenticator("azuredale datagram".encodeToByteArray() + key).appendMac(datagram, end)
        val allocated = allocatedBytes { codec.decode(datagram) }
        assertTrue(allocated < 200_000 + 200L * datagram.size, "$allocated bytes for ${datagram.size}")
        // With the original code, a datagram decodes only if the mutations left it unchanged.
        if (before is DatagramResult.Decoded) assertEquals(before, codec.decode(datagram))
    }

    @Test
    fun `a datagram with another key, version or invalid size is refused`() {
        val datagram = codec.encode(message(ProbeKind.PING, emptyList()))

        fun fault(codec: DatagramCodec, bytes: ByteArray) = assertIs<DatagramResult.Refused>(codec.decode(bytes)).fault
        assertEquals(FrameFault.WRONG_CODE, fault(DatagramCodec(ByteArray(32)), datagram))
        assertEquals(FrameFault.UNKNOWN_VERSION, fault(codec, datagram.copyOf().also { it[0] = 9 }))
        assertEquals(FrameFault.TOO_LONG, fault(codec, ByteArray(DatagramCodec.MAXIMUM_BYTES + 1)))
        assertEquals(FrameFault.TOO_SHORT, fault(codec, ByteArray(0)))
    }
}
