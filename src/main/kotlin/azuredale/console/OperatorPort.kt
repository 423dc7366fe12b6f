package azuredale.console

import azuredale.configuration.AcceptedDocument
import azuredale.configuration.SubmissionResult
import azuredale.identity.Revision

/** A document that an operator submits, based on the revision that the operator read. */
public data class Submission(
    val text: String,
    val basedOn: Revision,
    val submissionId: String,
)

/** Forms of the burn report. */
public enum class BurnFormat { TEXT, JSON, HTML }

/**
 * What the operator interface needs of the router.
 *
 * @property submit answers once the document is accepted and pushed to the connected routers, or refused.
 * @property burnReport renders the burn report.
 */
public class OperatorPort(
    public val document: () -> AcceptedDocument?,
    public val submit: suspend (Submission) -> SubmissionResult,
    public val status: () -> FleetStatus,
    public val drain: () -> Unit,
    public val metrics: () -> String,
    public val burnReport: (BurnFormat) -> String,
)
