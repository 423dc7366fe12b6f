package azuredale.logging

import org.slf4j.event.Level

/**
 * A numbered log event. Each package lists its events in one enum; docs/log-events.md is the catalogue.
 *
 * @property number unique in the program; 1001 is printed as `AZ-1001`.
 * @property text constant message; variable values belong in fields.
 */
public interface LogEvent {
    public val number: Int
    public val level: Level
    public val text: String

    /** The event's code as printed in logs. */
    public val code: String get() = "AZ-$number"
}
