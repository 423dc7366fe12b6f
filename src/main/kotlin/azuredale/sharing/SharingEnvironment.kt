package azuredale.sharing

import azuredale.configuration.AcceptedDocument
import azuredale.identity.Incarnation
import azuredale.identity.Region
import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.time.Timestamp
import kotlin.random.Random

/**
 * State of other controllers that the sharing controllers read.
 *
 * @property members routers that are alive or suspected, including this one and draining ones.
 * @property document the current document; null before the first one is accepted.
 * @property mayGiveOutWork whether the document was confirmed recently enough to start new work.
 */
public class SharingEnvironment(
    public val self: RouterId,
    public val incarnation: Incarnation,
    public val region: Region,
    public val members: () -> List<Member>,
    public val document: () -> AcceptedDocument?,
    public val mayGiveOutWork: (Timestamp) -> Boolean,
    public val random: Random,
)
