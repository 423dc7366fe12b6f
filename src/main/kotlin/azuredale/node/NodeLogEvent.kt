package azuredale.node

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events of [RouterDaemon]. */
internal enum class NodeLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    ROUTER_STARTED(1000, Level.INFO, "router started"),
    ROUTER_STOPPED(1001, Level.INFO, "router stopped"),
    EVENT_FAILED(1002, Level.ERROR, "event handler failed"),
    EFFECT_FAILED(1003, Level.ERROR, "effect execution failed"),
    EVENT_QUEUE_FULL(1004, Level.WARN, "event dropped: worker queue is full"),
    DRAIN_STARTED(1005, Level.INFO, "graceful shutdown started"),
    DRAIN_COMPLETED(1006, Level.INFO, "graceful shutdown completed"),
}
