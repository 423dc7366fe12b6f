package azuredale.peers

import azuredale.time.Timestamp
import java.nio.ByteBuffer

/**
 * When a relay last heard from each router that it knows, in six bytes for each router.
 *
 * A relay's reports describe only a few routers in full, since a description takes about a hundred bytes. So a router
 * of a large fleet would hear from a relay about another one less often than silence is tolerated.
 */
internal object PackedLiveness {
    /** Packs the ages of [peers] that have reported at least once. */
    fun pack(peers: Collection<Peer>, isIncluded: (Peer) -> Boolean, now: Timestamp): ByteArray {
        val buffer = ByteBuffer.allocate(peers.size * ENTRY_BYTES)
        peers.forEach { peer ->
            if (peer.incarnation != null && isIncluded(peer)) {
                val age = now.microsecondsSince(peer.lastHeardAt) / MICROSECONDS_PER_UNIT + 1
                val units = age.coerceIn(0, MAXIMUM_UNITS).toInt()
                buffer.putInt(peer.processKey).putShort((if (peer.isAlive) units else units or SILENT_FLAG).toShort())
            }
        }
        return buffer.array().copyOf(buffer.position())
    }

    /** Calls [action] for each router in [bytes] with its [Peer.processKey]; ignores an incomplete entry at the end. */
    inline fun forEach(bytes: ByteArray, action: (processKey: Int, isAlive: Boolean, ageMilliseconds: Long) -> Unit) {
        val buffer = ByteBuffer.wrap(bytes)
        while (buffer.remaining() >= ENTRY_BYTES) {
            val key = buffer.getInt()
            val value = buffer.getShort().toInt()
            action(key, value and SILENT_FLAG == 0, (value and MAXIMUM_UNITS.toInt()) * MILLISECONDS_PER_UNIT)
        }
    }

    const val ENTRY_BYTES = 6
    const val SILENT_FLAG = 0x8000
    const val MILLISECONDS_PER_UNIT = 2L

    /** An older router counts as silent anyway. */
    const val MAXIMUM_UNITS = 0x7FFFL
    private const val MICROSECONDS_PER_UNIT = MILLISECONDS_PER_UNIT * Timestamp.MICROSECONDS_PER_MILLISECOND
}
