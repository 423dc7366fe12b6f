package azuredale.measure

import azuredale.configuration.RouterSettings
import azuredale.identity.AttemptNumber
import azuredale.identity.Incarnation
import azuredale.identity.RequestNumber
import azuredale.identity.Revision
import azuredale.node.DecisionCore
import azuredale.node.NodeEffect
import azuredale.node.NodeEvent
import azuredale.time.Timestamp
import kotlin.random.Random

/** Creates the decision code of one router process. */
public typealias CoreFactory = (RouterSettings, Incarnation, Random) -> DecisionCore

/**
 * A simulated router VM that runs the decision code with a skewed clock; it outlives the router process.
 *
 * @property skew offset of its wall clock, in microseconds.
 * @property perform executes an effect.
 */
internal class RouterHost(
    val index: Int,
    val settings: RouterSettings,
    private val skew: Long,
    private val queue: EventQueue,
    private val invariants: InvariantMonitor,
    private val createCore: CoreFactory,
    private val perform: (RouterHost, NodeEffect) -> Unit,
) {
    private val deferredEvents = ArrayDeque<NodeEvent>()
    private var core: DecisionCore? = null
    private var nextNumber = 1L

    val name: String get() = settings.router.name
    val calls: HashMap<RequestNumber, Call> = HashMap()
    val attempts: HashMap<Pair<RequestNumber, AttemptNumber>, Attempt> = HashMap()

    /** Incremented by every start and stop; delayed events for an earlier process are dropped. */
    var generation: Int = 0
        private set
    var isPaused: Boolean = false
        private set
    var isDraining: Boolean = false

    /** Highest revision that this process announced. */
    var revision: Revision = Revision.NONE
    val isUp: Boolean get() = core != null
    val now: Timestamp get() = queue.wallClock(skew)

    fun start(seed: Long) {
        generation++
        core = createCore(settings, Incarnation(now.microseconds), Random(seed))
        val started = generation
        tick(started)
    }

    /** Ends the process and discards its [calls] and [attempts], which [Fleet.crash] handles first. */
    fun stop() {
        generation++
        core = null
        isPaused = false
        isDraining = false
        revision = Revision.NONE
        deferredEvents.clear()
        calls.clear()
        attempts.clear()
    }

    fun pause() {
        isPaused = true
    }

    fun resume() {
        isPaused = false
        while (deferredEvents.isNotEmpty() && isUp) handle(deferredEvents.removeFirst())
        if (isUp) handle(NodeEvent.Tick)
    }

    fun nextRequestNumber(): RequestNumber = RequestNumber(nextNumber++)

    /** Passes [event] to the decision code now, or after the current pause. */
    fun accept(event: NodeEvent) {
        when {
            !isUp -> Unit
            isPaused -> deferredEvents.addLast(event)
            else -> handle(event)
        }
    }

    /** Passes [event] to the decision code after [delay], unless the process has ended by then. */
    fun acceptLater(delay: Long, event: () -> NodeEvent?) {
        val current = generation
        queue.after(delay) { if (generation == current) event()?.let(::accept) }
    }

    private fun tick(started: Int) {
        if (generation != started) return
        if (!isPaused) handle(NodeEvent.Tick)
        queue.after(NodeEvent.TICK_MILLISECONDS * EventQueue.MILLISECOND) { tick(started) }
    }

    private fun handle(event: NodeEvent) {
        val current = core ?: return
        if (isTraced(event)) invariants.trace { "$name <- $event" }
        val effects =
            try {
                current.handle(event, now)
            } catch (failure: RuntimeException) {
                invariants.reportFailure(name, event, failure)
                return
            }
        effects.forEach {
            if (isTraced(it)) invariants.trace { "$name -> $it" }
            perform(this, it)
        }
    }

    private fun isTraced(event: NodeEvent) = when (event) {
        is NodeEvent.Tick, is NodeEvent.AttemptProgressed, is NodeEvent.LoadReported -> false
        is NodeEvent.CacheEventsReceived, is NodeEvent.DatagramReceived, is NodeEvent.RevisionConfirmed -> false
        else -> true
    }

    private fun isTraced(effect: NodeEffect) = effect !is NodeEffect.SendDatagram
}
