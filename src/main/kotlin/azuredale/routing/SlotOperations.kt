package azuredale.routing

import azuredale.identity.RequestNumber
import azuredale.node.NodeEffect
import azuredale.outcome.Outcome
import azuredale.sharing.QueuedRequest
import azuredale.time.Timestamp

/**
 * Slot allocation operations that the request controller uses. Each attempt has its own slot number.
 *
 * @property submit queues an attempt. The result arrives later as a slot-granted or slot-refused effect.
 * @property withdraw removes an attempt from the queue.
 * @property progressed reports the cost of a running attempt so far.
 * @property settled releases a granted slot, with the final cost and whether the server failed.
 */
public class SlotOperations(
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
