package azuredale.sharing

import azuredale.identity.ServerId

/**
 * Which servers probably hold which prompt prefix, from cache events and earlier grants.
 *
 * The events are late and incomplete, so an entry is a hint. The least recently used prefix is dropped at the bound.
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
