package azuredale.peers

import azuredale.catalog.Catalog
import azuredale.engine.ServerLoad
import kotlin.math.abs

/**
 * Predicts the milliseconds for which a further request waits at the server with a hash under a load; null if nothing
 * can be predicted for that server.
 */
internal typealias WaitPrediction = (server: Int, load: ServerLoad) -> Double?

/**
 * Decides whether loads changed so much since they were reported that other routers need them before the next report.
 *
 * @param noticeableMilliseconds change of the wait at a server that callers notice; null if none does.
 */
internal class LoadUrgency(
    private val predict: WaitPrediction,
    private val noticeableMilliseconds: () -> Double?,
) {
    /**
     * Whether the wait at some server differs noticeably from what others predict, who know the [reported] loads.
     *
     * @param current the same loads as they are now.
     * @param total all loads of a server, of which the current ones are a part.
     */
    fun isUrgent(
        reported: Map<Int, ServerLoad>,
        current: Map<Int, ServerLoad>,
        total: (server: Int) -> ServerLoad,
    ): Boolean {
        val noticeable = noticeableMilliseconds() ?: return false
        return current.any { (server, load) ->
            val known = reported[server] ?: ServerLoad.NONE
            known != load && change(server, known, load, total(server)) >= noticeable
        } ||
            reported.any { (server, load) ->
                server !in current && change(server, load, ServerLoad.NONE, total(server)) >= noticeable
            }
    }

    private fun change(server: Int, reported: ServerLoad, current: ServerLoad, total: ServerLoad): Double {
        val actual = predict(server, total) ?: return 0.0
        val known = predict(server, total - current + reported) ?: return 0.0
        return abs(actual - known)
    }

    companion object {
        /** Change of the wait at an engine that callers notice by their targets in [catalog]; null without any. */
        fun noticeableMilliseconds(catalog: Catalog): Double? = catalog.routes
            .filter { it.hasPromptAffinity }
            .minOfOrNull { it.targetMilliseconds * NOTICEABLE_FRACTION }

        /** Part of the smallest latency target by which a wait has to change; the rest is left to read a prompt. */
        private const val NOTICEABLE_FRACTION = 0.5
    }
}
