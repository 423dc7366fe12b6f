package azuredale.admission

import azuredale.identity.TeamId
import azuredale.time.Timestamp

/**
 * Thins out the requests of teams that ask for more than their fair share, so that all of them get the same.
 *
 * Each router admits the same fraction of a team's requests: the fair share over what the team asked for at all
 * routers. So it does not matter how much a team asks for, at how many routers, how large its requests are, or how
 * often they return. The fraction falls for teams that got more than their share lately, and rises for the others.
 *
 * A credit for each team makes the fraction exact for tokens as well as for requests: every request adds its part of a
 * request, and one that is admitted is subtracted.
 *
 * @param random returns a number from 0 to 1; routers that begin with different credits do not admit at the same time.
 */
internal class ShareGate(
    private val shares: FairShares,
    private val random: () -> Double,
) {
    private val credits = HashMap<TeamId, Double>()

    /** Adds the part of a request that [team] may send at [now]; returns whether the request may be sent. */
    fun mayAdmit(team: TeamId, tokens: Int, now: Timestamp): Boolean {
        val fraction = fraction(team, now)
        if (fraction >= 1.0) {
            credits.remove(team)
            return true
        }
        if (credits.size >= MAXIMUM_TEAMS && team !in credits) credits.clear()
        val credit = credits[team] ?: ((fraction - random()) * tokens)
        credits[team] = (credit + fraction * tokens).coerceAtMost(MAXIMUM_CREDIT_TOKENS)
        return credit > 0
    }

    /** Whether [mayAdmit] would refuse the next request of [team], whatever its size. */
    fun isExhausted(team: TeamId, now: Timestamp): Boolean {
        val credit = credits[team] ?: return false
        return credit <= 0 && fraction(team, now) < 1.0
    }

    /** Subtracts a request of [team] that was admitted. */
    fun recordAdmitted(team: TeamId, tokens: Int) {
        credits.computeIfPresent(team) { _, credit -> credit - tokens }
    }

    /** Fraction of the requests of [team] that may be admitted at [now]. */
    fun fraction(team: TeamId, now: Timestamp): Double {
        val current = shares.current(now)
        val usage = current.usageOf(team)
        // Without any granted request there is no share to compare with yet.
        if (current.fairShare <= 0.0 || usage.requested <= current.fairShare) return 1.0
        val excess = usage.granted / current.fairShare - 1.0
        val target = current.fairShare * (1.0 + HEADROOM - excess * CORRECTION)
        return (target / usage.requested).coerceIn(MINIMUM_FRACTION, 1.0)
    }

    private companion object {
        /** Lets the measured capacity grow again after it has fallen. */
        const val HEADROOM = 0.1

        /** Makes up within half of the usage window for what a team got beyond or below its share. */
        const val CORRECTION = 2.0

        /** Keeps a team that got far too much from waiting without end. */
        const val MINIMUM_FRACTION = 0.01

        /** Bounds what a team saves up while its requests are refused for another reason; a few requests. */
        const val MAXIMUM_CREDIT_TOKENS = 50_000.0

        /** Bounds memory; more teams than contend at one router. */
        const val MAXIMUM_TEAMS = 4_096
    }
}
