package azuredale.standin

import azuredale.identity.NetworkAddress

/**
 * Settings of an [EngineStandIn].
 *
 * @property slots maximum number of sequences in the batch; further requests wait.
 * @property tokensPerSecond generation speed of each running sequence.
 * @property firstTokenMilliseconds time to the first token if the prompt's prefix is not cached; a quarter if it is.
 * @property prefixCacheCapacity capacity of the prefix cache; the least recently used prefix is evicted.
 * @property cacheLagMilliseconds delay before a cache event is published.
 * @property cacheEventDropInterval events whose number is a multiple of this are never published; 0 publishes all.
 * @property loadLagMilliseconds age at which the load report is renewed.
 * @property defaultTokens length of a response whose request has no `max_tokens`.
 */
public data class EngineSettings(
    val address: NetworkAddress = NetworkAddress("127.0.0.1", 0),
    val slots: Int = 4,
    val tokensPerSecond: Double = 200.0,
    val firstTokenMilliseconds: Long = 20,
    val prefixCacheCapacity: Int = 32,
    val cacheLagMilliseconds: Long = 200,
    val cacheEventDropInterval: Int = 7,
    val loadLagMilliseconds: Long = 100,
    val defaultTokens: Int = 16,
)
