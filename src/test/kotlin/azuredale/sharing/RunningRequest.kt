package azuredale.sharing

import azuredale.identity.RequestNumber
import azuredale.identity.ServerId
import azuredale.time.Timestamp

/** A granted request that waits or runs at a simulated server. */
internal class RunningRequest(
    val router: SharingFleet.Router,
    val number: RequestNumber,
    val work: SharingFleet.Work,
    val server: ServerId,
) {
    private var startedAt: Timestamp? = null
    var endsAt: Timestamp = Timestamp.DISTANT_FUTURE
        private set
    val isStarted: Boolean get() = startedAt != null

    fun start(now: Timestamp, speed: Double) {
        startedAt = now
        endsAt = now.plusMicroseconds(maxOf(1, (work.cost / speed * Timestamp.MICROSECONDS_PER_SECOND).toLong()))
    }

    fun delivered(now: Timestamp): Double {
        val start = startedAt ?: return 0.0
        val part = now.microsecondsSince(start).toDouble() / endsAt.microsecondsSince(start)
        return work.cost * part.coerceIn(0.0, 1.0)
    }
}
