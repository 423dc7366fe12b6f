package azuredale.engine

import kotlin.math.exp
import kotlin.math.ln

/**
 * How fast one server reads prompts, learned from the time to the first event of its streams.
 *
 * The observed time is compared with the prediction for a server of speed one; the logarithm of the ratio is averaged,
 * weighted by the tokens that were read, so short prompts, whose time is mostly fixed, count little.
 */
internal class EngineSpeed {
    private var sum = 0.0
    private var weight = PRIOR_WEIGHT

    /** Time that this server takes for a token, relative to the pool's usual server. */
    val slowness: Double get() = exp(sum / weight)

    /** Notes that reading [tokens] took [actualMilliseconds] where a usual server takes [usualMilliseconds]. */
    fun observed(tokens: Int, usualMilliseconds: Double, actualMilliseconds: Double) {
        if (usualMilliseconds <= 0 || actualMilliseconds <= 0) return
        val ratio = (actualMilliseconds / usualMilliseconds).coerceIn(SMALLEST_RATIO, LARGEST_RATIO)
        val share = tokens.toDouble() / (tokens + HALF_WEIGHT_TOKENS)
        sum = sum * DECAY + ln(ratio) * share
        weight = weight * DECAY + share
    }

    private companion object {
        /** Counts as this many observations of the usual speed, so that the first ones do not decide alone. */
        const val PRIOR_WEIGHT = 2.0

        /** Forgets half of what was seen after about 23 observations. */
        const val DECAY = 0.97
        const val HALF_WEIGHT_TOKENS = 1_000.0

        /** Servers of one pool differ by a factor of four; the rest is queueing that the prediction missed. */
        const val SMALLEST_RATIO = 0.25
        const val LARGEST_RATIO = 4.0
    }
}
