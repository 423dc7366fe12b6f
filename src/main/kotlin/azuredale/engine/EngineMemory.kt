package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.identity.ServerId
import azuredale.time.Timestamp

/**
 * How much of the model engines' memory the requests in progress take.
 *
 * @param declaredTokens memory of a server for running requests and cached prompt parts, in tokens; 0 if not declared.
 */
internal class EngineMemory(
    private val loads: LoadTracker,
    private val declaredTokens: (ServerId) -> Long,
) {
    /** Memory of [server] in tokens, null if the catalog declares none. */
    fun capacityTokens(server: ServerId): Long? = declaredTokens(server).takeIf { it > 0 }

    /** Tokens that the requests in progress at [server] take or may still take, of all routers together. */
    fun committedTokens(server: BackendEntry, now: Timestamp): Long =
        loads.load(server.id, server.idHash, now).committedTokens.toLong()

    /** Tokens at [server] that no request in progress takes, null without a declared memory; cached parts yield. */
    fun freeTokens(server: BackendEntry, now: Timestamp): Long? =
        capacityTokens(server.id)?.let { (it - committedTokens(server, now)).coerceAtLeast(0) }
}
