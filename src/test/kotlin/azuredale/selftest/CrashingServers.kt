package azuredale.selftest

import azuredale.standin.BackendBehaviour
import azuredale.standin.BackendCall
import azuredale.standin.BackendStandIn
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.CopyOnWriteArrayList

/** Backend servers of a [GatewayFixture]; each ends when it begins to answer a prompt with a certain part, and restarts. */
internal class CrashingServers(
    private val vertx: Vertx,
    private val fixture: GatewayFixture,
    private val scope: CoroutineScope,
    private val deadlyPart: String,
) {
    /** Monotonic times in milliseconds at which a prompt with the deadly part reached a server. */
    val deadlyArrivals = CopyOnWriteArrayList<Long>()

    /** Monotonic times in milliseconds at which a server ended. */
    val ends = CopyOnWriteArrayList<Long>()

    suspend fun start(count: Int) = repeat(count) { start(it, generation = 1) }

    private suspend fun start(index: Int, generation: Int) {
        val server = BackendStandIn(vertx)
        server.behaviour = { call -> answer(server, index, generation, call) }
        fixture.register(index, server.start(), generation = generation)
    }

    private fun answer(server: BackendStandIn, index: Int, generation: Int, call: BackendCall): BackendBehaviour {
        if (deadlyPart !in call.promptParts) return BackendBehaviour.Stream(first = 1, last = 3)
        deadlyArrivals += milliseconds()
        end(server, index, generation)
        return BackendBehaviour.NeverRespond
    }

    /** Ends a server after a short time, as the other prompts in progress would be answered too fast to be seen. */
    private fun end(server: BackendStandIn, index: Int, generation: Int) {
        scope.launch {
            delay(BEGIN_MILLISECONDS)
            ends += milliseconds()
            server.stop()
            delay(RESTART_MILLISECONDS)
            start(index, generation + 1)
        }
    }

    companion object {
        private const val BEGIN_MILLISECONDS = 30L
        private const val RESTART_MILLISECONDS = 700L

        fun milliseconds() = System.nanoTime() / 1_000_000
    }
}
