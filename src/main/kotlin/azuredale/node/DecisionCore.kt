package azuredale.node

import azuredale.time.Timestamp

/**
 * The decisions of one router: events in, effects out, no input or output of its own.
 *
 * The daemon, the tests and the experiment tool drive the same implementation.
 */
public fun interface DecisionCore {
    /** Handles [event] at [now] and returns what the edge must do, in order. */
    public fun handle(event: NodeEvent, now: Timestamp): List<NodeEffect>
}
