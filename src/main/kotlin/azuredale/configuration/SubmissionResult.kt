package azuredale.configuration

import azuredale.identity.Revision
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure

/** Result of submitting a document. */
public sealed interface SubmissionResult {
    /** The failure to show to the operator, or null when the submission was accepted. */
    public val failure: Failure?

    /** The document is stored and in force as [document]. */
    public data class Accepted(val document: AcceptedDocument) : SubmissionResult {
        override val failure: Failure? get() = null
    }

    /** The document has [faults]; nothing changed. */
    public data class Invalid(val faults: List<ConfigurationFault>) : SubmissionResult {
        override val failure: Failure get() = Failure(ErrorKind.DOCUMENT_INVALID, "${faults.size} faults")
    }

    /** Another submission, [winner], was accepted as [revision] after the operator read the document. */
    public data class Raced(
        val winner: String,
        val revision: Revision,
    ) : SubmissionResult {
        override val failure: Failure
            get() = Failure(ErrorKind.DOCUMENT_RACED, "submission $winner was accepted as revision $revision")
    }

    /** The submission was not accepted, or its result is not known. */
    public data class Failed(override val failure: Failure) : SubmissionResult
}
