package azuredale.measure

import azuredale.configuration.Document
import azuredale.configuration.Recall
import azuredale.configuration.ServerState
import azuredale.identity.BatchId
import azuredale.node.NodeEvent

/** The statements that may follow `at TIME`. */
internal class ScenarioActions(private val words: ScenarioWords) {
    val forms: List<StatementForm<(ScenarioRun) -> Unit>> = network() + routers() + servers() + platform() + documents()

    private fun form(pattern: String, build: (Map<String, String>) -> (ScenarioRun) -> Unit) =
        StatementForm(pattern, build)

    private fun action(action: (ScenarioRun) -> Unit): (ScenarioRun) -> Unit = action

    private fun network() = listOf(
        form("cut {one} from {other}") { forEachPair(it) { network, a, b -> network.cut(a, b) } },
        form("heal {one} from {other}") { forEachPair(it) { network, a, b -> network.heal(a, b) } },
        form("heal all") { action { run -> run.fleet.network.healAll() } },
        form("lose {part} of datagrams") {
            val part = words.number(it.getValue("part"))
            action { run -> run.fleet.network.datagramLoss = part }
        },
    )

    private fun routers() = listOf(
        form("crash {routers}") { each(it) { run, host -> run.fleet.crash(host) } },
        form("restart {routers}") { each(it) { run, host -> run.fleet.restart(host) } },
        form("drain {routers}") {
            each(it) { _, host ->
                host.isDraining = true
                host.accept(NodeEvent.DrainRequested)
            }
        },
        form("pause {routers} for {time}") {
            val time = words.time(it.getValue("time"))
            each(it) { run, host ->
                host.pause()
                run.fleet.queue.after(time) { host.resume() }
            }
        },
    )

    private fun servers() = listOf(
        form("kill server {server}") { server(it) { run, server -> run.fleet.kill(server) } },
        form("revive server {server}") { server(it) { run, server -> run.fleet.revive(server) } },
        form("mismatch answers of server {server}") { server(it) { _, server -> server.isMismatching = true } },
        form("correct answers of server {server}") { server(it) { _, server -> server.isMismatching = false } },
        form("slow server {server} by {factor}") {
            val factor = words.number(it.getValue("factor"))
            server(it) { _, server -> server.slowdown = factor }
        },
    )

    private fun platform() = listOf(
        form("platform down") { action { run -> run.fleet.platform.isDown = true } },
        form("platform up") { action { run -> run.fleet.platform.isDown = false } },
        form("platform loses replies") { action { run -> run.fleet.platform.isLosingReplies = true } },
        form("platform keeps replies") { action { run -> run.fleet.platform.isLosingReplies = false } },
        form("platform slow by {time}") {
            val time = words.time(it.getValue("time"))
            action { run -> run.fleet.platform.extraDelay = time }
        },
    )

    private fun documents() = listOf(
        form("recall batch {batch}") {
            val batch = BatchId(words.batch(it.getValue("batch")))
            document { current -> current.copy(recalls = current.recalls + (batch to Recall(batch, "faulty"))) }
        },
        form("lift recall of batch {batch}") {
            val batch = BatchId(words.batch(it.getValue("batch")))
            document { current -> current.copy(recalls = current.recalls - batch) }
        },
        form("server {server} leaves") { withState(it, ServerState.LEAVING) },
        form("retire server {server}") { withState(it, ServerState.RETIRED) },
    )

    private fun withState(found: Map<String, String>, state: ServerState): (ScenarioRun) -> Unit {
        val id = words.server(found.getValue("server"))
        return document { current ->
            current.copy(servers = current.servers + (id to current.servers.getValue(id).copy(state = state)))
        }
    }

    private fun document(change: (Document) -> Document) =
        { run: ScenarioRun -> run.fleet.store(change(checkNotNull(run.fleet.platform.document).document)) }

    private fun each(found: Map<String, String>, action: (ScenarioRun, RouterHost) -> Unit): (ScenarioRun) -> Unit {
        val find = words.routers(found.getValue("routers"))
        return { run -> find(run).forEach { action(run, it) } }
    }

    private fun server(found: Map<String, String>, action: (ScenarioRun, FakeServer) -> Unit): (ScenarioRun) -> Unit {
        val id = words.server(found.getValue("server"))
        return { run -> action(run, run.fleet.servers.getValue(id)) }
    }

    private fun forEachPair(
        found: Map<String, String>,
        action: (FakeNetwork, String, String) -> Unit,
    ): (ScenarioRun) -> Unit {
        val one = words.endpoints(found.getValue("one"))
        val other = words.endpoints(found.getValue("other"), one)
        return { run ->
            val network = run.fleet.network
            one(run).forEach { a -> other(run).filter { it != a }.forEach { b -> action(network, a, b) } }
        }
    }
}
