package azuredale.sharing

import azuredale.identity.ServerId

/**
 * Approximate index of the prompt prefixes cached by each server, built from cache events and earlier grants.
 *
 * Events can be late or missing, so entries are only hints. At [maximumPrefixes] the least recently used prefix is
 * evicted.
 */
internal class PrefixIndex(private val maximumPrefixes: Int = 16_384) {
    private val holders = LinkedHashMap<Long, MutableSet<ServerId>>(16, 0.75f, true)

    val size: Int get() = holders.size

    fun apply(event: CacheEvent): Unit =
        if (event.isEvicted) evicted(event.prefix, event.server) else stored(event.prefix, event.server)

    fun stored(prefix: Long, server: ServerId) {
        holders.getOrPut(prefix) { HashSet(2) } += server
        if (holders.size > maximumPrefixes) holders.remove(holders.keys.first())
    }

    fun holds(prefix: Long, server: ServerId): Boolean = holders[prefix]?.contains(server) == true

    private fun evicted(prefix: Long, server: ServerId) {
        val servers = holders[prefix] ?: return
        servers -= server
        if (servers.isEmpty()) holders.remove(prefix)
    }
}
