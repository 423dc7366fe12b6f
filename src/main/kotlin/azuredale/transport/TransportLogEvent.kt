package azuredale.transport

import azuredale.logging.LogEvent
import org.slf4j.event.Level

/** Log events of connections between routers. */
internal enum class TransportLogEvent(
    override val number: Int,
    override val level: Level,
    override val text: String,
) : LogEvent {
    LISTENING(1400, Level.INFO, "listening for other routers"),
    PEER_CONNECTED(1401, Level.INFO, "connection to router opened"),
    PEER_DISCONNECTED(1402, Level.INFO, "connection to router closed"),
    FRAME_REFUSED(1403, Level.WARN, "frame refused, connection closed"),
    HANDSHAKE_REFUSED(1404, Level.WARN, "handshake refused, connection closed"),
    CONNECT_FAILED(1405, Level.INFO, "could not connect to router"),
    QUEUE_OVERFLOWED(1406, Level.WARN, "send queue is full, oldest message dropped and connection reset"),
    MESSAGE_TOO_LARGE(1407, Level.ERROR, "message exceeds the maximum frame size and was dropped"),
    ACCEPT_FAILED(1408, Level.ERROR, "failed to accept a connection"),
    CONNECTIONS_REFUSED(1409, Level.WARN, "too many unfinished handshakes, connection closed"),
    NAMES_EXHAUSTED(1410, Level.WARN, "name table is full, connection reset"),
    CONNECTION_LOST(1412, Level.DEBUG, "connection ended with an error"),
    HANDLER_FAILED(1411, Level.ERROR, "handler of a transport event threw an exception"),
}
