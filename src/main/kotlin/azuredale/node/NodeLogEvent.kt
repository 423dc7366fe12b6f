package azuredale.node

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events of the daemon. */
internal enum class NodeLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    ROUTER_STARTED(1000, Level.INFO, "router started"),
    ROUTER_STOPPED(1001, Level.INFO, "router stopped"),
    EVENT_FAILED(1002, Level.ERROR, "event could not be handled"),
    EFFECT_FAILED(1003, Level.ERROR, "effect could not be executed"),
    EVENT_QUEUE_FULL(1004, Level.WARN, "event dropped because its worker's queue is full"),
    DRAIN_STARTED(1005, Level.INFO, "graceful shutdown started"),
    DRAIN_COMPLETED(1006, Level.INFO, "graceful shutdown completed"),
}
