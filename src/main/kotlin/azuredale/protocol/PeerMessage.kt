package azuredale.protocol

/** A message between two routers. [MessageType] assigns a number to each type. */
public sealed interface PeerMessage
