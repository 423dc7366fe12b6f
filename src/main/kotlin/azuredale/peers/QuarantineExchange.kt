@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.peers

import azuredale.identity.PartId
import azuredale.quarantine.CrashRecord
import azuredale.quarantine.Quarantine
import azuredale.quarantine.QuarantineTable
import azuredale.quarantine.ServerEnd
import azuredale.time.Timestamp
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A prompt part that was in progress at a server that crashed, and its position in the prompt. */
@Serializable
internal class SuspectEntry(
    @CborLabel(1) val part: String,
    @CborLabel(2) val position: Int,
)

/**
 * Crash of a server, given by the hash of its id and the start of its process in Unix milliseconds.
 *
 * @property cleared suspects on which a server has since sent an answer.
 */
@Serializable
internal class CrashEntry(
    @CborLabel(1) val server: Int,
    @CborLabel(2) val startedAtMilliseconds: Long,
    @CborLabel(3) val suspects: List<SuspectEntry>,
    @CborLabel(4) val cleared: List<String> = emptyList(),
)

/** A quarantined part and the number of its trials. */
@Serializable
internal class QuarantinedEntry(
    @CborLabel(1) val part: String,
    @CborLabel(2) val trials: Int,
)

/** The quarantine table of the store at [point], and the age of the proof that it was the latest one, or -1. */
@Serializable
internal class QuarantineEntry(
    @CborLabel(1) val point: PointEntry,
    @CborLabel(2) val age: Long,
    @CborLabel(3) val parts: List<QuarantinedEntry> = emptyList(),
)

/** Translates between a [Quarantine] and the reports of routers. */
internal class QuarantineExchange(private val quarantine: Quarantine) {
    /** The crashes that changed recently; each router passes on what it learned, so they reach all by any topology. */
    fun crashes(now: Timestamp): List<CrashEntry> = quarantine.recentCrashes(now).take(MAXIMUM_CRASHES).map { record ->
        CrashEntry(
            server = record.end.server,
            startedAtMilliseconds = record.end.startedAtMilliseconds,
            suspects = record.suspects.map { (part, position) -> SuspectEntry(part.name, position) },
            cleared = record.cleared.map { it.name },
        )
    }

    /** The known table with the age of its proof as computed by [age]. */
    fun table(age: (Timestamp) -> Long): QuarantineEntry? = if (quarantine.isKnown) {
        val table = quarantine.table
        val parts = table.trials.map { (part, trials) -> QuarantinedEntry(part.name, trials) }
        QuarantineEntry(PointEntry.of(table.point), age(quarantine.tableProvenAt), parts)
    } else {
        null
    }

    /** Applies the crashes and the table in [report], which was created after [createdAfter], if that is known. */
    fun apply(report: PeerReport, createdAfter: Timestamp?, now: Timestamp) {
        report.crashes.forEach { entry ->
            val suspects = entry.suspects.associate { PartId(it.part) to it.position.coerceAtLeast(0) }
            val cleared = entry.cleared.mapTo(LinkedHashSet(), ::PartId)
            val end = ServerEnd(entry.server, entry.startedAtMilliseconds)
            quarantine.mergeCrash(CrashRecord(end, suspects, cleared), now)
        }
        val table = report.quarantine ?: return
        val trials = table.parts.associate { PartId(it.part) to it.trials.coerceAtLeast(0) }
        val isProven = createdAfter != null && table.age >= 0
        val provenAt = if (isProven) createdAfter.plusMicroseconds(-table.age) else Timestamp.DISTANT_PAST
        quarantine.adoptTable(QuarantineTable(table.point.toPoint(), trials), provenAt, now)
    }

    private companion object {
        /** Keeps a datagram within the usual maximum size of a network packet. */
        const val MAXIMUM_CRASHES = 4
    }
}
