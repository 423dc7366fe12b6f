package azuredale.console

import azuredale.configuration.AcceptedDocument
import azuredale.configuration.SubmissionResult
import azuredale.identity.Revision

/** A document submitted by an operator, based on the revision [basedOn]. */
public data class Submission(
    val text: String,
    val basedOn: Revision,
    val submissionId: String,
)

/** Output format of the burn-rate report. */
public enum class BurnReportFormat { TEXT, JSON, HTML }

/**
 * Operations of the router that the operator interface calls.
 *
 * @property submit returns once the document is accepted and sent to the connected routers, or rejected.
 * @property burnReport renders the burn-rate report.
 */
public class RouterOperations(
    public val document: () -> AcceptedDocument?,
    public val submit: suspend (Submission) -> SubmissionResult,
    public val status: () -> FleetStatus,
    public val drain: () -> Unit,
    public val metrics: () -> String,
    public val burnReport: (BurnReportFormat) -> String,
)
