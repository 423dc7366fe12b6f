package azuredale.quarantine

import azuredale.directory.BackendEntry

/**
 * The unexpected end of one process of a backend server.
 *
 * @property server hash of the server's id.
 * @property startedAtMilliseconds start of the process in Unix milliseconds, which tells it from others under that id.
 */
internal data class ServerEnd(
    val server: Int,
    val startedAtMilliseconds: Long,
) {
    companion object {
        /** The end of the process that [entry] registers. */
        fun of(entry: BackendEntry): ServerEnd = ServerEnd(entry.idHash, entry.startedAtMilliseconds ?: 0)
    }
}
