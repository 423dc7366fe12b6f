package azuredale.sharing

import azuredale.configuration.AcceptedDocument
import azuredale.identity.Incarnation
import azuredale.identity.Region
import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.time.Timestamp
import kotlin.random.Random

/**
 * What the sharing controllers read of other controllers.
 *
 * @property members routers that are alive or suspected, this one included; draining members have the flag set.
 * @property document the document in force, or null before the first.
 * @property mayGiveOutWork whether the document is confirmed recently enough to start new work.
 */
public class SharingContext(
    public val self: RouterId,
    public val incarnation: Incarnation,
    public val region: Region,
    public val members: () -> List<Member>,
    public val document: () -> AcceptedDocument?,
    public val mayGiveOutWork: (Timestamp) -> Boolean,
    public val random: Random,
)
