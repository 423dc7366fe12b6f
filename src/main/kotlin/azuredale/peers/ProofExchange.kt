package azuredale.peers

import azuredale.freshness.StoreView
import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.store.StoreEra
import azuredale.time.Timestamp

/**
 * Applies what other routers report of the store's tables: proofs of freshness, changes, quarantine and evacuations.
 */
internal class ProofExchange(
    private val incarnation: Incarnation,
    private val view: StoreView,
    private val quarantine: QuarantineExchange,
    private val evacuations: EvacuationExchange,
    private val directory: DirectoryExchange,
    private val callbacks: PeerCallbacks,
) {
    /**
     * Applies the proofs of freshness in [report].
     *
     * The echo shows that the report was created after this router sent the echoed datagram. The age of a proof is
     * counted from that time, so that a delay of the datagram in transit never makes a proof appear too recent.
     */
    fun apply(datagram: PeerDatagram, report: PeerReport, now: Timestamp) {
        report.era?.let { applyEra(it, now) }
        val createdAfter = createdAfter(datagram, now)
        if (createdAfter != null && report.directory.age >= 0) {
            directory.apply(report, createdAfter.plusMicroseconds(-report.directory.age), now)
        }
        val mark = report.catalog.mark.toMark()
        view.recordMark(mark)
        report.catalog.newest?.let { view.recordMark(it.toMark()) }
        val isCatalogOld = mark.isNewerThan(view.catalogMark)
        val isDirectoryOld =
            report.directory.age in 0..ReportWriter.MAXIMUM_PROOF_AGE_MICROSECONDS &&
                report.directory.version.toInt() != view.directoryDigest &&
                now.plusMicroseconds(-report.directory.age) > view.directoryProof.at &&
                directory.isLater(report)
        if (isCatalogOld || isDirectoryOld) callbacks.onOutdated(isCatalogOld, isDirectoryOld)
        quarantine.apply(report, createdAfter, now)
        evacuations.apply(report, createdAfter)
        if (createdAfter == null) return
        if (report.catalog.age >= 0) {
            val provenAt = createdAfter.plusMicroseconds(-report.catalog.age)
            view.confirmCatalog(mark, provenAt, RouterId(report.sender.router))
            if (view.history.isProofOfEra(mark.point.era, provenAt)) view.history.recordSettled()
        }
        if (report.directory.age >= 0) {
            view.confirmDirectory(
                report.directory.version.toInt(),
                createdAfter.plusMicroseconds(-report.directory.age),
            )
        }
    }

    /** A report that was delayed names too low an age, so the era never appears to be settled too soon. */
    private fun applyEra(entry: EraEntry, now: Timestamp) {
        val era = StoreEra(entry.era)
        callbacks.onEra(era, now)
        if (era == view.history.era) {
            view.history.recordReportedAge(entry.age, now)
        }
    }

    /** Time after which the report in [datagram] was created, by this router's clock; null if it echoes no report. */
    fun createdAfter(datagram: PeerDatagram, now: Timestamp): Timestamp? {
        if (datagram.echoedTime == 0L || datagram.echoIncarnation != incarnation.value) return null
        return Timestamp(datagram.echoedTime)
            .plusMicroseconds(datagram.echoDelay)
            .takeIf { datagram.echoDelay >= 0 && it <= now }
    }
}
