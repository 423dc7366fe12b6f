package azuredale.standin

import azuredale.time.Clock
import azuredale.time.Timestamp

/** The platform's list of VMs; each change becomes visible only after a delay. */
internal class DelayedVirtualMachineList(private val clock: Clock) {
    private class Entry(
        val visibleFrom: Timestamp,
        val live: List<String>,
        val leaving: List<String>,
    )

    private val history = ArrayDeque<Entry>()

    /** Replaces the list; readers see the change after [lagMilliseconds]. */
    @Synchronized
    fun set(live: List<String>, leaving: List<String>, lagMilliseconds: Long) {
        history.addLast(Entry(clock().plusMilliseconds(lagMilliseconds), live, leaving))
    }

    /** Live and leaving VMs that readers currently see. */
    @Synchronized
    fun visible(): Pair<List<String>, List<String>> {
        val now = clock()
        while (history.size > 1 && history[1].visibleFrom <= now) history.removeFirst()
        val entry = history.firstOrNull()?.takeIf { it.visibleFrom <= now } ?: return emptyList<String>() to emptyList()
        return entry.live to entry.leaving
    }
}
