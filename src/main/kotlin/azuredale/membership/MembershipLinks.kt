package azuredale.membership

import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.node.NodeEffect
import azuredale.protocol.Confirmation
import azuredale.time.Timestamp

/**
 * What the failure detector reads from and reports to the rest of the node.
 *
 * @property revision document revision that this node holds.
 * @property confirmation newest confirmation known to this node, with its age at the given time.
 * @property onConfirmation called for each datagram of another router with its confirmation, whose age is corrected by
 *   the time under way, and its revision; [Confirmation.NONE] when there is none or its age is not known.
 * @property onEvent called for changes of members; writes the log in the daemon.
 */
public class MembershipLinks(
    public val revision: () -> Revision = { Revision.NONE },
    public val confirmation: (Timestamp) -> Confirmation? = { null },
    public val onConfirmation: (Confirmation, RouterId, Revision, Timestamp) -> List<NodeEffect> =
        { _, _, _, _ -> emptyList() },
    public val onEvent: (MembershipLogEvent, RouterId, String) -> Unit = { _, _, _ -> },
)
