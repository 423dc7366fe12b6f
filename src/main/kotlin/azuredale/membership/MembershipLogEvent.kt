package azuredale.membership

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events of the failure detector. */
public enum class MembershipLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    MEMBER_ALIVE(1300, Level.INFO, "member is alive"),
    MEMBER_SUSPECT(1301, Level.INFO, "member is suspected"),
    MEMBER_DEAD(1302, Level.WARN, "member is declared dead"),
    MEMBER_LEFT(1303, Level.INFO, "member left the fleet"),
    TABLE_FULL(1304, Level.ERROR, "member table is full, new member ignored"),
    SUSPICION_REFUTED(1305, Level.INFO, "refuted a report that this router has failed"),
    DUPLICATE_ROUTER(1306, Level.ERROR, "another process uses the id of this router"),
    SENDER_MISMATCH(1307, Level.WARN, "datagram source differs from the known address of its sender"),
    PROCESS_PAUSED(1308, Level.WARN, "this process was paused"),
    DATAGRAM_REFUSED(1309, Level.WARN, "datagram refused"),
    PROBE_LISTENING(1310, Level.INFO, "listening for datagrams of the failure detector"),
    SEND_FAILED(1311, Level.WARN, "datagram could not be sent"),
}
