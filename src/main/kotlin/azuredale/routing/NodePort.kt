package azuredale.routing

import azuredale.node.NodeEvent

/** Takes events of the HTTP edge to the decision logic; never blocks. */
public fun interface NodePort {
    public fun post(event: NodeEvent)
}
