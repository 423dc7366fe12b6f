package azuredale.routing

import azuredale.blackboard.LockRank
import azuredale.blackboard.Table
import azuredale.identity.RequestNumber
import java.util.concurrent.atomic.AtomicLong

/** Requests in progress, indexed by number and by slot. All members except [locked] require the lock. */
internal class RequestTable(maximumRequests: Int) {
    private val requests = Table<RequestNumber, RequestRow>("requests", OWNER, maximumRequests, LockRank.REQUESTS)
    private val slots = Table<RequestNumber, RequestNumber>("request slots", OWNER, maximumRequests, LockRank.REQUESTS)
    private val lastSlot = AtomicLong()

    fun <R> locked(block: () -> R): R = requests.locked { slots.locked(block) }

    val size: Int get() = requests.size

    val rows: List<RequestRow> get() = requests.entries.values.toList()

    operator fun get(number: RequestNumber): RequestRow? = requests[number]

    fun add(row: RequestRow): Boolean = requests.put(row.request.number, row)

    /** Replaces a row and updates the slot index. */
    fun update(row: RequestRow) {
        requests[row.request.number]?.let { old -> slotOf(old)?.let(slots::remove) }
        requests.put(row.request.number, row)
        slotOf(row)?.let { slots.put(it, row.request.number) }
    }

    fun remove(number: RequestNumber): RequestRow? {
        val row = requests.remove(number)
        row?.let(::slotOf)?.let(slots::remove)
        return row
    }

    /** Returns the request that is queued or running as [slot], or null. */
    fun bySlot(slot: RequestNumber): RequestRow? = slots[slot]?.let { requests[it] }

    fun newSlot(): RequestNumber = RequestNumber(lastSlot.incrementAndGet())

    private fun slotOf(row: RequestRow): RequestNumber? = when (val phase = row.phase) {
        is RequestPhase.Queued -> phase.slot
        is RequestPhase.Running -> phase.slot
        else -> null
    }

    private companion object {
        const val OWNER = "RequestController"
    }
}
