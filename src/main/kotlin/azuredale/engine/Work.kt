package azuredale.engine

import azuredale.gateway.PromptShape
import azuredale.identity.FailureDomain
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/**
 * A request as the choice of a server sees it.
 *
 * @property onTimeUntil time up to which an answer, or a stream's first event, is on time.
 * @property deadline time at which the caller gives up.
 * @property excluded servers that were tried already.
 */
internal data class Work(
    val pool: PoolId,
    val team: TeamId?,
    val prompt: PromptShape?,
    val origin: FailureDomain,
    val onTimeUntil: Timestamp,
    val deadline: Timestamp,
    val excluded: Set<ServerId> = emptySet(),
)
