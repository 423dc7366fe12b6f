package azuredale.engine

import azuredale.gateway.PromptShape
import azuredale.identity.FailureDomain
import azuredale.identity.PartId
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.ServerId
import azuredale.identity.SoftwareVersion
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/**
 * Input of the server selection for one request.
 *
 * @property origin failure domain of this router.
 * @property onTimeUntil when the latency target for the response, or the first event of a stream, expires.
 * @property deadline when the caller stops waiting.
 * @property excluded servers that were already tried.
 * @property homes the regions whose servers may get the request, null if all may.
 * @property confinedTo a part of the prompt that may crash servers; all requests with it go to one server.
 * @property softwareVersions the versions of which the server has to have one, null if any will do.
 * @property route name of the request's route, empty if unknown.
 */
internal data class SelectionRequest(
    val pool: PoolId,
    val team: TeamId?,
    val prompt: PromptShape?,
    val origin: FailureDomain,
    val onTimeUntil: Timestamp,
    val deadline: Timestamp,
    val excluded: Set<ServerId> = emptySet(),
    val confinedTo: PartId? = null,
    val route: String = "",
    val homes: Set<Region>? = null,
    val softwareVersions: Set<SoftwareVersion>? = null,
)
