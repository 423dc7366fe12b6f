package azuredale.quarantine

import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.identity.PartId
import azuredale.time.Timestamp

/** Functions through which [Quarantine] reports its changes. */
internal class QuarantineCallbacks(
    /** Called when there is something new for the next report to other routers. */
    val onNews: () -> Unit = {},
    /** Called when a part is quarantined or released, with the reason. */
    val onChange: (PartId, isQuarantined: Boolean, reason: String) -> Unit = { _, _, _ -> },
)

/** Whether a prompt may be sent to a server. */
internal sealed interface QuarantineDecision {
    /** Any server may get the prompt. */
    data object Allowed : QuarantineDecision

    /** [part] may have crashed a server; its requests go to one server, so that only that one can crash. */
    data class Confined(val part: PartId) : QuarantineDecision

    /** [part] is quarantined. [trialAt] is the time of its next trial, null if only operators can release it. */
    data class Quarantined(
        val part: PartId,
        val trials: Int,
        val trialAt: Timestamp?,
    ) : QuarantineDecision
}

/**
 * Decides which prompt parts crash servers, and keeps requests with such parts away from them.
 *
 * The last part of a prompt belongs to one request and is never quarantined. A router acts on its own conclusion at
 * once; the table in the store makes it outlive the routers, and reaches routers that are cut off from the others.
 */
internal class Quarantine(private val callbacks: QuarantineCallbacks = QuarantineCallbacks()) {
    private val evidence = CrashEvidence()
    private val answeredAt = LinkedHashMap<PartId, Timestamp>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Quarantined here and not yet seen in the store's table. */
    private val concluded = LinkedHashMap<PartId, Timestamp>()

    /** Times at which the current number of trials of a part in the table became known. */
    private val knownSince = HashMap<PartId, Timestamp>()

    /** Parts in the table on which a server has sent an answer, so that their entries should be removed. */
    private val released = LinkedHashSet<PartId>()

    private var nextUpdateAt = Timestamp.DISTANT_PAST

    /** The latest known table of the store. */
    var table = QuarantineTable.UNKNOWN
        private set

    /** Time at which [table] was known to be the latest one. */
    var tableProvenAt = Timestamp.DISTANT_PAST
        private set

    /** Whether the store's table has been read, here or by a router that reported it. */
    val isKnown: Boolean get() = table !== QuarantineTable.UNKNOWN

    /** Parts that are quarantined here and not in the store, with the time of the decision. */
    val unstored: Map<PartId, Timestamp> get() = concluded

    /** Parts whose entries in the store should be removed. */
    val releasedParts: Set<PartId> get() = released

    /** Number of quarantined parts, for metrics. */
    val size: Int get() = table.trials.keys.count(::isQuarantined) + concluded.size

    /** Whether and where a request with [prompt] may be sent at [now]. */
    fun decide(prompt: PromptShape, now: Timestamp): QuarantineDecision {
        val shared = trackedParts(prompt)
        shared.firstOrNull { isQuarantined(it.partId) }?.let { return quarantined(it.partId) }
        val suspect = shared.filter { !isAnswered(it, now) && crashes(it) > 0 }.maxByOrNull(::crashes)
        return suspect?.let { QuarantineDecision.Confined(it.partId) } ?: QuarantineDecision.Allowed
    }

    /** Whether a request with [prompt] whose server crashed may be sent to another server. */
    fun mayRepeat(prompt: PromptShape, now: Timestamp): Boolean = trackedParts(
        prompt,
    ).all { isAnswered(it, now) || (crashes(it) < REPEATABLE_CRASHES && !isQuarantined(it.partId)) }

    private fun crashes(part: PromptPart) = evidence.count(part.partId, ::isQuarantined)

    /** Whether a server has recently answered all shared parts of [prompt], so that they crash no server. */
    fun isTrusted(prompt: PromptShape, now: Timestamp): Boolean = trackedParts(prompt).all { isAnswered(it, now) }

    /** Records that a server sent an answer on [prompt] and went on. */
    fun recordAnswer(prompt: PromptShape, now: Timestamp) {
        var isNews = false
        trackedParts(prompt).forEach { part ->
            answeredAt[part.partId] = now
            if (evidence.clear(part.partId, now)) isNews = true
            release(part.partId, "answered")
        }
        while (answeredAt.size > MAXIMUM_ANSWERED) answeredAt.remove(answeredAt.keys.first())
        if (isNews) callbacks.onNews()
    }

    /** Records that the server process [end] crashed with [prompts] in progress on which it had sent no answer. */
    fun recordCrash(end: ServerEnd, prompts: List<PromptShape>, now: Timestamp) {
        val suspects = LinkedHashMap<PartId, Int>()
        prompts.forEach { prompt ->
            trackedParts(prompt).forEachIndexed { position, part ->
                if (!isAnswered(part, now)) suspects.putIfAbsent(part.partId, position)
            }
        }
        mergeCrash(CrashRecord(end, suspects, emptySet()), now)
    }

    /** Merges a crash that another router reported. */
    fun mergeCrash(record: CrashRecord, now: Timestamp) {
        val answered = record.suspects.keys.filter { isAnswered(it, now) }
        val merged = CrashRecord(record.end, record.suspects, record.cleared + answered)
        if (evidence.merge(merged, now)) callbacks.onNews()
        record.cleared.forEach { if (it in concluded) release(it, "answered at another router") }
    }

    /** Draws conclusions from the evidence if that is due; called periodically. */
    fun update(now: Timestamp) {
        if (now < nextUpdateAt) return
        nextUpdateAt = now.plusMilliseconds(UPDATE_MILLISECONDS)
        concluded.entries.removeIf { (part, since) ->
            val isOver = now >= since.plusMilliseconds(UNSTORED_LIFETIME_MILLISECONDS)
            if (isOver) callbacks.onChange(part, false, "could not be stored")
            isOver
        }
        while (concluded.size < MAXIMUM_PARTS) {
            val causes = evidence.probableCauses(::isQuarantined, now)
            if (causes.isEmpty()) return
            causes.forEach { part ->
                concluded[part] = now
                callbacks.onChange(part, true, "in progress at several servers that crashed, never answered")
            }
        }
    }

    /** Adopts [read] if it is not older than the known table, which was the latest one at [provenAt]. */
    fun adoptTable(read: QuarantineTable, provenAt: Timestamp, now: Timestamp) {
        if (read.point < table.point) return
        val before = table
        // After a long time without a proof, a missing entry may as well have been removed since the return.
        val isKnownRecently = now < tableProvenAt.plusMilliseconds(RECENT_MILLISECONDS)
        val isNewEra =
            before !== QuarantineTable.UNKNOWN && read.point.era > before.point.era && isKnownRecently
        table = read
        tableProvenAt = maxOf(tableProvenAt, provenAt)
        if (read.trials == before.trials && before !== QuarantineTable.UNKNOWN) return
        read.trials.forEach { (part, trials) ->
            // Its entry was removed after the copy had been made, since prompts with the part were answered.
            if (isNewEra && part !in before.trials && isAnswered(part, now)) {
                released += part
                return@forEach
            }
            if (before.trials[part] != trials) knownSince[part] = now
            if (part !in before.trials && concluded.remove(part) == null) callbacks.onChange(part, true, "in the store")
        }
        (before.trials.keys - read.trials.keys).forEach { part ->
            // The store has lost the entry, which operators did not remove; it is to be stored again.
            if (isNewEra && part !in released) {
                concluded[part] = now
                return@forEach
            }
            evidence.forget(part)
            knownSince.remove(part)
            if (!released.remove(part)) callbacks.onChange(part, false, "removed from the store")
        }
        callbacks.onNews()
    }

    /** The crashes that changed recently, for reports to other routers. */
    fun recentCrashes(now: Timestamp): List<CrashRecord> = evidence.recentChanges(now)

    private fun isQuarantined(part: PartId) = part in concluded || (part in table.trials && part !in released)

    private fun quarantined(part: PartId): QuarantineDecision.Quarantined {
        val trials = table.trials[part] ?: 0
        val since = knownSince[part]
        val wait = TRIAL_MILLISECONDS shl trials
        val trialAt = if (since == null || trials >= MAXIMUM_TRIALS) null else since.plusMilliseconds(wait)
        return QuarantineDecision.Quarantined(part, trials, trialAt)
    }

    private fun release(part: PartId, reason: String) {
        val wasConcluded = concluded.remove(part) != null
        val wasStored = part in table.trials && released.add(part)
        if (wasConcluded || wasStored) callbacks.onChange(part, false, reason)
    }

    private fun trackedParts(prompt: PromptShape): List<PromptPart> =
        prompt.sharedParts.take(MAXIMUM_PARTS).filter { it.id.length <= MAXIMUM_ID_LENGTH }

    private fun isAnswered(part: PromptPart, now: Timestamp) = isAnswered(part.partId, now)

    private fun isAnswered(part: PartId, now: Timestamp): Boolean =
        answeredAt[part]?.let { now < it.plusMilliseconds(ANSWER_VALID_MILLISECONDS) } == true

    companion object {
        /** An older answer says little, since a new version of the model may have changed what crashes it. */
        const val ANSWER_VALID_MILLISECONDS = 10_000L

        /** Limits the processor time that callers with many parts can cause. */
        const val UPDATE_MILLISECONDS = 50L

        /** Time before the first trial; it doubles with each trial. */
        const val TRIAL_MILLISECONDS = 60_000L

        /** Crashes with a part in progress from which on its requests are not sent to another server. */
        const val REPEATABLE_CRASHES = 2

        /** Each trial may crash a server, so after this number only operators release a part. */
        const val MAXIMUM_TRIALS = 2

        /** Lifetime of a conclusion that cannot be stored, and so is not subject to trials. */
        const val UNSTORED_LIFETIME_MILLISECONDS = 600_000L

        /** Two reads of the table, and a moment in which the store is away. */
        const val RECENT_MILLISECONDS = 12_000L

        /** Bounds the conclusions of a router and the parts that count of one prompt, whoever sends prompts. */
        const val MAXIMUM_PARTS = 64

        /** Ids are short hashes; a longer one fits neither a report nor a key of the store. */
        const val MAXIMUM_ID_LENGTH = 64

        /** More parts than a fleet answers within [ANSWER_VALID_MILLISECONDS] at one router. */
        const val MAXIMUM_ANSWERED = 4_096
        private const val INITIAL_CAPACITY = 256
        private const val LOAD_FACTOR = 0.75f
    }
}
