package azuredale.engine

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.directory.ServerDirectory
import azuredale.engine.MemoryPrompts.CAPACITY
import azuredale.engine.MemoryPrompts.POOL
import azuredale.gateway.PromptPart
import azuredale.gateway.PromptShape
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.store.StorePoint
import azuredale.time.Timestamp

/** One router's view of servers with 64 slots and memory for 225,000 tokens each. */
internal class MemoryRouter(
    servers: Int,
    private val routers: Int = 1,
    capacity: Long = CAPACITY,
) {
    var now = Timestamp.ofMilliseconds(1_000_000)
    val servers = List(servers) { server(it) }
    var directory = ServerDirectory(StorePoint.NONE, this.servers.associateBy { it.id })
    val statistics = ServerStatistics(routers = { routers }) { capacity }
    private val selector = ServerSelector({ directory }, statistics)
    private val memory = statistics.memory

    fun server(index: Int, startedAt: Long? = 1) = BackendEntry(
        id = ServerId("server-$index"),
        pool = POOL,
        address = NetworkAddress("10.0.0.$index", 80),
        failureDomain = FailureDomain("domain"),
        slots = 64,
        state = BackendState.READY,
        startedAtMilliseconds = startedAt,
    )

    fun select(prompt: PromptShape, excluded: Set<ServerId> = emptySet()) = selector.select(
        SelectionRequest(
            pool = POOL,
            team = null,
            prompt = prompt,
            origin = FailureDomain("domain"),
            onTimeUntil = now.plusMilliseconds(600),
            deadline = now.plusMilliseconds(5_000),
            excluded = excluded,
            route = "route",
        ),
        now,
    )

    /** Sends [prompt] if a server has room. */
    fun send(prompt: PromptShape): RunningPrompt? {
        val server = (select(prompt) as? ServerSelection.Selected)?.server ?: return null
        return RunningPrompt(server, checkNotNull(memory.claim(server, prompt, "route", now)))
    }

    fun end(running: RunningPrompt, isComplete: Boolean = true) =
        memory.release(running.server, running.claim, "route", isComplete, now)

    fun committed(server: BackendEntry = servers[0]) = memory.committedTokens(server, now)

    /** What this router would report of itself. */
    fun report() = statistics.loads.localLoads.entries
        .associate { (id, load) -> id.name.hashCode() to load }

    fun hear(report: Map<Int, ServerLoad>, from: String = "other") = statistics.loads.updatePeer(
        RouterId(from),
        report,
        validUntil = now.plusMilliseconds(1_000),
        asOf = now,
    )
}

internal class RunningPrompt(
    val server: BackendEntry,
    val claim: MemoryClaim,
)

/** Prompts of the memory specs. */
internal object MemoryPrompts {
    /** Memory of each server in tokens. */
    const val CAPACITY = 225_000L
    val POOL = PoolId("pool")
    private var requests = 0

    /** A prompt of [tokens], of which [shared] are in a part that other prompts have, too. */
    fun prompt(tokens: Int, shared: Int = 0, output: Int = 50): PromptShape {
        val own = PromptPart("own-${requests++}", tokens - shared)
        return PromptShape(listOf(PromptPart("part", shared), own), tokens, maximumOutputTokens = output)
    }

    fun long() = prompt(9_200)

    fun chat() = prompt(700, output = 300)
}
