package azuredale.node

import azuredale.time.Timestamp

/**
 * The decision logic of one router: it takes events, returns effects and performs no I/O.
 *
 * The daemon, the tests and the measurement tool run the same implementation.
 */
public fun interface DecisionCore {
    /** Handles [event] at [now] and returns the effects that the I/O layer must execute, in order. */
    public fun handle(event: NodeEvent, now: Timestamp): List<NodeEffect>
}
