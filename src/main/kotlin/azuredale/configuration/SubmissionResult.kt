package azuredale.configuration

import azuredale.identity.Revision
import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure

/** Result of submitting a document. */
public sealed interface SubmissionResult {
    /** The failure to report to the operator, or null if the submission was accepted. */
    public val failure: Failure?

    /** The submission was accepted and stored as [document]. */
    public data class Accepted(val document: AcceptedDocument) : SubmissionResult {
        override val failure: Failure? get() = null
    }

    /** The document is invalid and was not stored. [errors] lists the errors. */
    public data class Invalid(val errors: List<ConfigurationError>) : SubmissionResult {
        override val failure: Failure get() = Failure(ErrorKind.DOCUMENT_INVALID, "${errors.size} faults")
    }

    /** Another submission, [winner], was accepted as [revision] after the operator read the document. */
    public data class Raced(
        val winner: String,
        val revision: Revision,
    ) : SubmissionResult {
        override val failure: Failure
            get() = Failure(ErrorKind.DOCUMENT_RACED, "submission $winner was accepted as revision $revision")
    }

    /** The submission was not accepted, or its result is unknown. */
    public data class Failed(override val failure: Failure) : SubmissionResult
}
