package azuredale.sharing

/** A string hash that is identical on all nodes and in all releases. */
internal object StableHash {
    private const val FNV_OFFSET_BASIS = -3_750_763_034_362_895_579L
    private const val FNV_PRIME = 1_099_511_628_211L
    private const val MIX_FIRST = -4_658_895_280_553_007_687L
    private const val MIX_SECOND = -7_723_592_293_110_705_685L
    private const val SHIFT_FIRST = 30
    private const val SHIFT_SECOND = 27
    private const val SHIFT_THIRD = 31
    private const val HALF = 0.5
    private const val MANTISSA_BITS = 53
    private const val SEPARATOR = 0x1F

    /** The SplitMix64 mixer: each bit of [value] changes about half of the result's. */
    fun mixed(value: Long): Long {
        var hash = (value xor (value ushr SHIFT_FIRST)) * MIX_FIRST
        hash = (hash xor (hash ushr SHIFT_SECOND)) * MIX_SECOND
        return hash xor (hash ushr SHIFT_THIRD)
    }

    /** FNV-1a over the characters of [parts], finalized with the SplitMix64 mixer. */
    fun of(vararg parts: String): Long {
        var hash = FNV_OFFSET_BASIS
        parts.forEach { part ->
            part.forEach { hash = (hash xor it.code.toLong()) * FNV_PRIME }
            hash = (hash xor SEPARATOR.toLong()) * FNV_PRIME
        }
        return mixed(hash)
    }

    /** The hash of [parts] mapped to the open interval (0, 1). */
    fun fraction(vararg parts: String): Double {
        val bits = of(*parts) ushr (Long.SIZE_BITS - MANTISSA_BITS)
        return (bits + HALF) / (1L shl MANTISSA_BITS)
    }
}
