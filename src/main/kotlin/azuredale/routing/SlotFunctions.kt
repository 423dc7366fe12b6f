package azuredale.routing

import azuredale.identity.RequestNumber
import azuredale.node.NodeEffect
import azuredale.outcome.Outcome
import azuredale.sharing.QueuedRequest
import azuredale.time.Timestamp

/**
 * How the request controller reaches the sharing of slots. Each attempt queues under a slot number of its own.
 *
 * @property submit queues an attempt; the answer comes as a granted or refused slot.
 * @property withdraw takes an attempt out of the queue.
 * @property progressed reports the cost of a running attempt so far.
 * @property settled ends a granted slot with its final cost and whether the server failed.
 */
public class SlotFunctions(
    public val submit: (request: QueuedRequest, now: Timestamp) -> Outcome<List<NodeEffect>>,
    public val withdraw: (slot: RequestNumber, now: Timestamp) -> List<NodeEffect>,
    public val progressed: (slot: RequestNumber, cost: Double, now: Timestamp) -> List<NodeEffect>,
    public val settled: (
        slot: RequestNumber,
        cost: Double,
        hasServerFailed: Boolean,
        now: Timestamp,
    ) -> List<NodeEffect>,
)
