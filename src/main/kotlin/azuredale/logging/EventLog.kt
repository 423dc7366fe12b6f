package azuredale.logging

import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Writes numbered events with structured fields to SLF4J.
 *
 * ```
 * private val log = EventLog("azuredale.membership")
 * log.write(MembershipLogEvent.MEMBER_DEAD, "router" to router, "incarnation" to incarnation)
 * ```
 */
public class EventLog(name: String) {
    private val logger: Logger = LoggerFactory.getLogger(name)

    /** Writes [event] with [fields] and [cause]; its stack trace is added only when debug logging is enabled. */
    public fun write(event: LogEvent, vararg fields: Pair<String, Any?>, cause: Throwable? = null) {
        val builder = logger.atLevel(event.level).addKeyValue("event", event.code)
        fields.forEach { (key, value) -> builder.addKeyValue(key, value) }
        if (cause != null) {
            builder.addKeyValue("cause", cause.toString())
            if (logger.isDebugEnabled) builder.setCause(cause)
        }
        builder.log(event.text)
    }
}
