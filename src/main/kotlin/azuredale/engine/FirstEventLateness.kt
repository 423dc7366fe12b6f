package azuredale.engine

import azuredale.identity.ServerId
import azuredale.time.Timestamp
import kotlin.math.exp

/**
 * How much later than predicted first events come at present for reasons other than prompt parts, by streams whose
 * predictions hardly depend on what a server keeps.
 *
 * A router sends few of them to a single server, so a server's mean is drawn towards that of all servers.
 */
internal class FirstEventLateness {
    private class Mean {
        var weight = 0.0
        var sum = 0.0
        var at = Timestamp.DISTANT_PAST

        fun decay(now: Timestamp) {
            val factor = exp(-now.secondsSince(at).coerceAtLeast(0.0) / WINDOW_SECONDS)
            weight *= factor
            sum *= factor
            at = now
        }
    }

    private val all = Mean()
    private val servers = LinkedHashMap<ServerId, Mean>()

    /** Records that a first event of [server] came [milliseconds] later than predicted; negative if earlier. */
    fun record(server: ServerId, milliseconds: Double, now: Timestamp) {
        val mean = servers.remove(server) ?: Mean()
        servers[server] = mean
        if (servers.size > MAXIMUM_SERVERS) servers.remove(servers.keys.first())
        listOf(all, mean).forEach {
            it.decay(now)
            it.weight++
            it.sum += milliseconds
        }
    }

    /** Milliseconds by which first events of [server] come later than predicted; 0 without any recently. */
    fun milliseconds(server: ServerId, now: Timestamp): Double {
        all.decay(now)
        val common = if (all.weight < LEAST_WEIGHT) 0.0 else all.sum / all.weight
        val mean = servers[server] ?: return common
        mean.decay(now)
        return (mean.sum + COMMON_WEIGHT * common) / (mean.weight + COMMON_WEIGHT)
    }

    private companion object {
        /** Queues of other routers' prompts last about this long. */
        const val WINDOW_SECONDS = 2.0

        /** Number of streams that the mean of all servers counts for in that of one. */
        const val COMMON_WEIGHT = 2.0

        /** A tenth of a stream: the last one began four to five seconds ago. */
        const val LEAST_WEIGHT = 0.1

        /** Bounds memory: 100 bytes a server. */
        const val MAXIMUM_SERVERS = 1_024
    }
}
