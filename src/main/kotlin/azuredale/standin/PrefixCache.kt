package azuredale.standin

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject

/** Prefix cache of [EngineStandIn], with an event log that is delayed and has gaps. */
internal class PrefixCache(private val settings: EngineSettings) {
    private val prefixes = LinkedHashMap<Long, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val events = ArrayDeque<Event>()
    private var lastNumber = 0L

    /** Marks [prefix] as the most recently used and returns whether it was cached. */
    fun touch(prefix: Long, now: Long): Boolean {
        val isCached = prefixes.containsKey(prefix)
        prefixes[prefix] = Unit
        if (!isCached) record(prefix, isEvicted = false, now)
        if (prefixes.size > settings.prefixCacheCapacity) {
            val oldest = prefixes.keys.first()
            prefixes.remove(oldest)
            record(oldest, isEvicted = true, now)
        }
        return isCached
    }

    /** Published events with a number above [after]; the client passes `next` in its next call. */
    fun published(after: Long, now: Long): JsonObject {
        val visible = events.filter { it.number > after && now - it.at >= settings.cacheLagMilliseconds }
        val listed =
            visible.map { event ->
                JsonObject().put("number", event.number).put("prefix", event.prefix).put("evicted", event.isEvicted)
            }
        return JsonObject().put("events", JsonArray(listed)).put("next", visible.lastOrNull()?.number ?: after)
    }

    private fun record(prefix: Long, isEvicted: Boolean, now: Long) {
        val number = ++lastNumber
        if (settings.cacheEventDropInterval > 0 && number % settings.cacheEventDropInterval == 0L) return
        events.addLast(Event(number, prefix, isEvicted, now))
        if (events.size > MAXIMUM_EVENTS) events.removeFirst()
    }

    private class Event(
        val number: Long,
        val prefix: Long,
        val isEvicted: Boolean,
        val at: Long,
    )

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
        const val MAXIMUM_EVENTS = 1_024
    }
}
