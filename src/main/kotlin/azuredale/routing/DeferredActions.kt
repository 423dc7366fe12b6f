package azuredale.routing

import azuredale.node.NodeEffect
import azuredale.time.Timestamp

/**
 * Collects effects and calls to other controllers while the request table is locked.
 *
 * They run after the table is unlocked, because other controllers take locks of lower rank.
 */
internal class DeferredActions {
    private val steps = mutableListOf<(Timestamp) -> List<NodeEffect>>()

    fun emit(effect: NodeEffect) {
        steps += { listOf(effect) }
    }

    fun defer(step: (Timestamp) -> List<NodeEffect>) {
        steps += step
    }

    fun run(now: Timestamp): List<NodeEffect> = steps.flatMap { it(now) }
}
