package azuredale.transport

import azuredale.protocol.PeerMessage
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.Size
import java.lang.management.ManagementFactory
import java.nio.ByteBuffer
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Returns the number of bytes that the current thread allocates while [block] runs. */
internal fun allocatedBytes(block: () -> Unit): Long {
    val threads = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean
    val before = threads.currentThreadAllocatedBytes
    block()
    return threads.currentThreadAllocatedBytes - before
}

/** jqwik prints the seed of each property and reruns a failed property with the same seed. */
class FrameFuzzTest {
    /** A frame with sequence number 0, [body] and a valid code, which only a router with the fleet key can send. */
    private fun sealed(body: ByteArray): ByteArray {
        val size = FrameCodec.HEADER_BYTES + body.size + MessageAuthenticator.MAC_BYTES
        val buffer = ByteBuffer.allocate(size).putInt(size - FrameCodec.LENGTH_BYTES)
        buffer.put(FrameCodec.PROTOCOL_VERSION.toByte()).putLong(0).put(body)
        MessageAuthenticator(testKey).appendMac(buffer.array(), size - MessageAuthenticator.MAC_BYTES)
        return buffer.array()
    }

    private fun validBody(messages: List<PeerMessage>): ByteArray {
        val encoded = FrameCodec(testKey, testKey).encode(messages) as EncodeResult.Encoded
        val frame = encoded.frames.single()
        return frame.copyOfRange(FrameCodec.HEADER_BYTES, frame.size - MessageAuthenticator.MAC_BYTES)
    }

    private fun decodeWithinBound(frame: ByteArray) {
        val codec = FrameCodec(testKey, testKey)
        val allocated = allocatedBytes { codec.decode(frame) }
        assertTrue(allocated < ALLOCATION_FIXED + ALLOCATION_PER_BYTE * frame.size, "$allocated for ${frame.size}")
    }

    @Provide
    fun mutations(): Arbitrary<List<Pair<Int, Byte>>> = Arbitraries
        .integers()
        .between(0, 4_095)
        .flatMap { position -> Arbitraries.bytes().map { position to it } }
        .list()
        .ofMinSize(1)
        .ofMaxSize(6)

    @Property(tries = 2_000, seed = "20261204")
    fun `random bytes are refused`(
        @ForAll @Size(max = 300) bytes: ByteArray,
    ) {
        // Guards against an exception that terminates the coroutine that reads from the connection.
        assertIs<FrameResult.Refused>(FrameCodec(testKey, testKey).decode(bytes))
    }

    @Property(tries = 2_000, seed = "20261204")
    fun `random bodies with a valid code neither throw nor allocate past the bound`(
        @ForAll @Size(max = 300) body: ByteArray,
    ): Unit = decodeWithinBound(sealed(body))

    @Property(tries = 4_000, seed = "2868599170008717741")
    fun `mutated bodies with a valid code neither throw nor allocate past the bound`(
        @ForAll("mutations") changes: List<Pair<Int, Byte>>,
    ) {
        val body = validBody(sampleMessages)
        changes.forEach { (position, value) -> body[position % body.size] = value }
        decodeWithinBound(sealed(body))
    }

    @Property(tries = 1_000, seed = "20261204")
    fun `a frame with changed bytes is refused`(
        @ForAll("mutations") changes: List<Pair<Int, Byte>>,
    ) {
        // Guards against an authentication code that does not cover the whole frame.
        val frame = sealed(validBody(sampleMessages))
        val changed = frame.copyOf()
        changes.forEach { (position, value) -> changed[position % changed.size] = value }
        if (!changed.contentEquals(frame)) {
            assertIs<FrameResult.Refused>(FrameCodec(testKey, testKey).decode(changed))
        }
    }

    @Property(tries = 200, seed = "20261204")
    fun `a declared length past the end of the content is not allocated`(
        @ForAll("heads") head: ByteArray,
    ) {
        // Guards against a small frame that declares a collection, text or byte string of up to two billion elements.
        listOf(byteArrayOf(), byteArrayOf(0x82.toByte()), byteArrayOf(0x82.toByte(), 0x80.toByte(), 0x81.toByte()))
            .forEach { decodeWithinBound(sealed(it + head)) }
    }

    @Provide
    fun heads(): Arbitrary<ByteArray> = Arbitraries.of(2, 3, 4, 5).flatMap { major ->
        Arbitraries.integers().between(1_000_000, Int.MAX_VALUE).map { count ->
            ByteBuffer
                .allocate(5)
                .put(((major shl 5) or 26).toByte())
                .putInt(count)
                .array()
        }
    }

    private companion object {
        const val ALLOCATION_FIXED = 200_000L
        const val ALLOCATION_PER_BYTE = 200L
    }
}
