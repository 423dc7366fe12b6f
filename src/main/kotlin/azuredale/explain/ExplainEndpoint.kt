package azuredale.explain

import azuredale.time.Clock
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Answers the questions of operators over HTTP: a [RoutingQuestion] in JSON, and a [RoutingExplanation] in JSON.
 *
 * @param isBehind whether requests wait, in which case questions are refused rather than answered.
 */
internal class ExplainEndpoint(
    private val explainer: RoutingExplainer,
    private val clock: Clock,
    private val isBehind: () -> Boolean,
) {
    /** The status and the text of the answer to [text]. */
    fun answer(text: String): Pair<Int, String> {
        if (text.length > MAXIMUM_BYTES) return BAD_REQUEST to "the question exceeds $MAXIMUM_BYTES bytes"
        if (isBehind()) return UNAVAILABLE to "the router is behind; requests go first"
        val question =
            try {
                Json.decodeFromString(RoutingQuestion.serializer(), text)
            } catch (failure: SerializationException) {
                return BAD_REQUEST to "the question cannot be decoded: ${failure.message}"
            }
        val faults = question.faults()
        if (faults.isNotEmpty()) return BAD_REQUEST to faults.joinToString("; ")
        val explanation = explainer.explain(question, clock())
        return OK to Json.encodeToString(RoutingExplanation.serializer(), explanation)
    }

    companion object {
        /** Path of the endpoint on a router's readiness address. */
        const val PATH = "/v1/explain"

        /** Longer than a description of any prompt. */
        const val MAXIMUM_BYTES = 65_536
        private const val OK = 200
        private const val BAD_REQUEST = 400
        private const val UNAVAILABLE = 503
    }
}
