package azuredale.resumption

import azuredale.identity.SoftwareVersion
import azuredale.sharing.StableHash
import azuredale.time.Timestamp

/** Identifies a stream by the caller's request that brought its first event: a hash, the same on every router. */
@JvmInline
internal value class StreamId(val value: Long) {
    companion object {
        /** The stream that [requestId] began. */
        fun of(requestId: String) = StreamId(StableHash.of(requestId))
    }
}

/** At which software version a stream began. */
internal sealed interface StreamOrigin {
    /** A server with [version] sent the first event. */
    data class Known(val version: SoftwareVersion) : StreamOrigin

    /** Several servers with different versions are said to have sent it. */
    data object Contradictory : StreamOrigin
}

/** The origins of recent streams, begun here or told by other routers. */
internal class StreamOrigins {
    private class Record(
        val origin: StreamOrigin,
        val isOwn: Boolean,
        val validUntil: Timestamp,
    )

    private val records = LinkedHashMap<StreamId, Record>()

    /**
     * Records that [stream] began at [version].
     *
     * @param isOwn whether this router forwarded the first event.
     */
    fun record(stream: StreamId, version: SoftwareVersion, isOwn: Boolean, now: Timestamp) {
        val known = find(stream, now)
        val origin = if (known == null) StreamOrigin.Known(version) else known.combined(version)
        records.remove(stream)
        while (records.size >= MAXIMUM_RECORDS) records.remove(records.keys.first())
        records[stream] = Record(origin, isOwn, now.plusMilliseconds(PoolVersions.LIFETIME_MILLISECONDS))
    }

    /** The origin of [stream], null if it is unknown. */
    fun find(stream: StreamId, now: Timestamp): StreamOrigin? = records[stream]?.takeIf { now < it.validUntil }?.origin

    /** The streams that this router began lately, with their versions. */
    fun own(now: Timestamp): List<Pair<StreamId, SoftwareVersion>> = records.entries
        .filter { it.value.isOwn && now < it.value.validUntil }
        .mapNotNull { (stream, record) -> (record.origin as? StreamOrigin.Known)?.let { stream to it.version } }

    private fun StreamOrigin.combined(version: SoftwareVersion) =
        if (this == StreamOrigin.Known(version)) this else StreamOrigin.Contradictory

    private companion object {
        /** Streams that a router of the largest size begins or is told within their lifetime; about 3 MB. */
        const val MAXIMUM_RECORDS = 16_384
    }
}
