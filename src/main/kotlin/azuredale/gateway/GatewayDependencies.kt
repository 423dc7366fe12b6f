package azuredale.gateway

import azuredale.directory.BackendEntry
import azuredale.freshness.EraNotes
import azuredale.freshness.StoreReader
import azuredale.identity.NetworkAddress
import azuredale.quarantine.QuarantineStore
import azuredale.resumption.VersionNotes
import azuredale.time.Timestamp

/** External dependencies of a [Gateway]. */
internal class GatewayDependencies(
    val storeReader: StoreReader,
    val registry: Registry,
    val backends: BackendTransport,
    val failureHeaders: FailureHeaders,
    /** Sends a datagram to another router. */
    val sendDatagram: (NetworkAddress, ByteArray) -> Unit,
    /** Schedules an action for a given time. */
    val timer: (Timestamp, () -> Unit) -> Timer,
    val quarantineStore: QuarantineStore,
    val versionNotes: VersionNotes,
    val eraNotes: EraNotes,
    /** Tries a new connection to a server and reports whether it was refused. */
    val probe: (BackendEntry, (isRefused: Boolean) -> Unit) -> Unit,
    /** Called when the server directory or the catalog changes. */
    val onChange: () -> Unit,
    /** Number of connections that callers have open. */
    val openCallerConnections: () -> Int = { 0 },
)
