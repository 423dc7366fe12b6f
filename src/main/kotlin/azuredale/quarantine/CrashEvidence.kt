package azuredale.quarantine

import azuredale.identity.PartId
import azuredale.time.Timestamp

/**
 * Crash of one server as known to this router.
 *
 * @property suspects parts of prompts that the server had not yet answered when it ended, with their position there.
 * @property cleared suspects on which a server has since sent an answer without ending.
 */
internal class CrashRecord(
    val end: ServerEnd,
    val suspects: Map<PartId, Int>,
    val cleared: Set<PartId>,
)

/**
 * Prompt parts that were in progress at servers that crashed, merged from the observations of all routers.
 *
 * Each router sees only its own requests at a server, so the suspects of a crash are the union of what the routers
 * report. A part that is answered anywhere is cleared of all crashes known so far, and stays cleared whatever is
 * reported afterwards, so the order in which reports arrive does not matter.
 */
internal class CrashEvidence {
    private class Crash(val firstKnownAt: Timestamp) {
        val suspects = LinkedHashMap<PartId, Int>()
        val cleared = LinkedHashSet<PartId>()
        var changedAt = firstKnownAt

        fun isSuspect(part: PartId) = part in suspects && part !in cleared
    }

    private val crashes = LinkedHashMap<ServerEnd, Crash>()

    /** Merges an observation of a crash; returns whether it contained anything new. */
    fun merge(record: CrashRecord, now: Timestamp): Boolean {
        removeExpired(now)
        val isNew = record.end !in crashes
        if (isNew && crashes.size >= MAXIMUM_CRASHES) crashes.remove(crashes.keys.first())
        val crash = crashes.getOrPut(record.end) { Crash(now) }
        val before = crash.suspects.size + crash.cleared.size
        record.suspects.forEach { (part, position) ->
            if (crash.suspects.size < MAXIMUM_PARTS) crash.suspects.putIfAbsent(part, position)
        }
        record.cleared.forEach { if (crash.cleared.size < MAXIMUM_PARTS) crash.cleared += it }
        val hasChanged = crash.suspects.size + crash.cleared.size > before
        if (hasChanged) crash.changedAt = now
        return isNew || hasChanged
    }

    /** Clears [part] of all crashes; returns whether it was a suspect. */
    fun clear(part: PartId, now: Timestamp): Boolean {
        var wasSuspect = false
        crashes.values.forEach { crash ->
            if (crash.isSuspect(part)) {
                crash.cleared += part
                crash.changedAt = now
                wasSuspect = true
            }
        }
        return wasSuspect
    }

    /** Number of crashes without a known cause of which [part] is a suspect. */
    fun count(part: PartId, isKnownCause: (PartId) -> Boolean): Int =
        crashes.values.count { it.isSuspect(part) && !hasKnownCause(it, isKnownCause) }

    /**
     * The parts that are suspects of most crashes without a known cause, if these crashes are enough.
     *
     * By chance some part is in progress at every crash, so several crashes are needed, and crashes at about the same
     * time count once, since a common cause may have ended the servers. The latest crash must have been known for a
     * while, so that a router that has seen an answer on the part can clear it first. Of parts that were always in
     * progress together, the one furthest into the prompts is returned, as the fewest requests share it.
     */
    fun probableCauses(isKnownCause: (PartId) -> Boolean, now: Timestamp): Set<PartId> {
        removeExpired(now)
        if (crashes.size < REQUIRED_CRASHES) return emptySet()
        val open = crashes.values.filter { !hasKnownCause(it, isKnownCause) }
        val counts =
            open
                .flatMap { crash -> crash.suspects.keys.filter(crash::isSuspect) }
                .distinct()
                .associateWith { part -> countSeparate(open.filter { it.isSuspect(part) }, now) }
        val most = counts.values.maxOrNull() ?: return emptySet()
        if (most < REQUIRED_CRASHES) return emptySet()
        val positions = counts.filterValues { it == most }.mapValues { (part, _) -> position(part, open) }
        return positions.filterValues { it == positions.values.max() }.keys
    }

    private fun position(part: PartId, among: List<Crash>) = among.maxOf { it.suspects[part] ?: 0 }

    /** The crashes that changed recently, latest first. */
    fun recentChanges(now: Timestamp): List<CrashRecord> = crashes.entries
        .filter { (_, crash) -> now < crash.changedAt.plusMilliseconds(REPEAT_MILLISECONDS) }
        .sortedByDescending { (_, crash) -> crash.changedAt }
        .map { (end, crash) -> CrashRecord(end, crash.suspects.toMap(), crash.cleared.toSet()) }

    /** Discards what is known of [part], so that only further crashes count. */
    fun forget(part: PartId) {
        crashes.values.forEach { it.suspects.remove(part) }
    }

    private fun hasKnownCause(crash: Crash, isKnownCause: (PartId) -> Boolean) =
        crash.suspects.keys.any { crash.isSuspect(it) && isKnownCause(it) }

    /** Counts crashes at least [SEPARATE_MILLISECONDS] apart, of which the latest is settled. */
    private fun countSeparate(crashes: List<Crash>, now: Timestamp): Int {
        var count = 0
        var last: Timestamp? = null
        crashes.map { it.firstKnownAt }.sorted().forEach { at ->
            val isSettled = now >= at.plusMilliseconds(SETTLE_MILLISECONDS)
            if (isSettled && last?.let { at >= it.plusMilliseconds(SEPARATE_MILLISECONDS) } != false) {
                count++
                last = at
            }
        }
        return count
    }

    private fun removeExpired(now: Timestamp) {
        crashes.values.removeIf { now >= it.firstKnownAt.plusMilliseconds(LIFETIME_MILLISECONDS) }
    }

    companion object {
        /** Two crashes may share a part by chance, for example after a caller has repeated its request. */
        const val REQUIRED_CRASHES = 3

        /** Longer than the reports of one event take to arrive from all routers. */
        const val SEPARATE_MILLISECONDS = 150L

        /** Longer than a router takes to report that a suspect was answered. */
        const val SETTLE_MILLISECONDS = 120L

        /** Covers rare requests; older crashes say little about the present. */
        const val LIFETIME_MILLISECONDS = 60_000L

        /** A change is in several reports, since a datagram may be lost. */
        const val REPEAT_MILLISECONDS = 700L

        /** Bounds memory and the time of a decision. */
        const val MAXIMUM_CRASHES = 64

        /** Bounds the suspects of one crash, whoever reports them. */
        const val MAXIMUM_PARTS = 64
    }
}
