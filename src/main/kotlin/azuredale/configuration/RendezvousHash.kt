package azuredale.configuration

import azuredale.identity.RouterId

/** Rendezvous hashing: all nodes with the same list of routers and the same seed choose the same routers. */
internal object RendezvousHash {
    fun choose(routers: Collection<RouterId>, seed: String, count: Int): List<RouterId> =
        routers.sortedWith(compareBy({ weight(it, seed) }, { it.name })).take(count)

    fun first(routers: Collection<RouterId>, seed: String): RouterId? = choose(routers, seed, 1).firstOrNull()

    /** FNV-1a hash of the seed and the name, with a final mix because similar names differ in few bits. */
    private fun weight(router: RouterId, seed: String): Long {
        var hash = OFFSET_BASIS
        for (character in "$seed/${router.name}") hash = (hash xor character.code.toLong()) * PRIME
        hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_FACTOR
        return hash xor (hash ushr MIX_SHIFT)
    }

    private const val OFFSET_BASIS = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L
    private const val MIX_SHIFT = 32
    private const val MIX_FACTOR = -0x61c8864680b583ebL
}
