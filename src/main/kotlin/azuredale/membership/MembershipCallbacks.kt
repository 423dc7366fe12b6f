package azuredale.membership

import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.node.NodeEffect
import azuredale.protocol.Confirmation
import azuredale.time.Timestamp

/**
 * Functions through which the failure detector interacts with the rest of the node.
 *
 * @property revision returns the document revision that this node holds.
 * @property confirmation returns the newest confirmation known to this node, with its age at the given time.
 * @property onConfirmation called for each datagram from another router with its confirmation, the sender and the
 *   sender's document revision. The age of the confirmation includes the time in transit. It is [Confirmation.NONE] if
 *   the datagram has none or its age is not known.
 * @property onEvent called for changes of members; the daemon writes them to the log.
 */
public class MembershipCallbacks(
    public val revision: () -> Revision = { Revision.NONE },
    public val confirmation: (Timestamp) -> Confirmation? = { null },
    public val onConfirmation: (Confirmation, RouterId, Revision, Timestamp) -> List<NodeEffect> =
        { _, _, _, _ -> emptyList() },
    public val onEvent: (MembershipLogEvent, RouterId, String) -> Unit = { _, _, _ -> },
)
