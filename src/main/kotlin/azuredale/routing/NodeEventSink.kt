package azuredale.routing

import azuredale.node.NodeEvent

/** Receives events of the HTTP edge and queues them for the node. Must not block. */
public fun interface NodeEventSink {
    public fun post(event: NodeEvent)
}
