package azuredale.protocol

/** A message between two routers; each type has a number in [MessageType]. */
public sealed interface PeerMessage
