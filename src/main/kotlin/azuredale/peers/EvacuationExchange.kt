@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.peers

import azuredale.freshness.EvacuationTable
import azuredale.freshness.StoreView
import azuredale.identity.FailureDomain
import azuredale.time.Timestamp
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** The evacuated failure domains as read at [point], and the age of the proof that this was the newest table. */
@Serializable
internal class EvacuationEntry(
    @CborLabel(1) val point: PointEntry,
    @CborLabel(2) val age: Long,
    @CborLabel(3) val domains: List<String> = emptyList(),
)

/** Translates between the evacuations of [view] and the reports of routers. */
internal class EvacuationExchange(private val view: StoreView) {
    private val evacuations get() = view.evacuations

    /** The known table with the age of its proof as computed by [age], null if none is known. */
    fun table(age: (Timestamp) -> Long): EvacuationEntry? = evacuations.table?.let { table ->
        EvacuationEntry(PointEntry.of(table.point), age(evacuations.provenAt), table.domains.map { it.name })
    }

    /** Applies the table in [report], which was created after [createdAfter], if that is known. */
    fun apply(report: PeerReport, createdAfter: Timestamp?) {
        val entry = report.evacuations ?: return
        val isProven = createdAfter != null && entry.age >= 0
        val provenAt = if (isProven) createdAfter.plusMicroseconds(-entry.age) else Timestamp.DISTANT_PAST
        val table = EvacuationTable(entry.point.toPoint(), entry.domains.mapTo(HashSet(), ::FailureDomain))
        evacuations.adopt(table, provenAt, isSettled = view.history.isProofOfEra(table.point.era, provenAt))
    }
}
