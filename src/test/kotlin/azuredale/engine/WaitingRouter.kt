package azuredale.engine

import azuredale.gateway.PromptShape
import azuredale.identity.TeamId
import azuredale.time.Timestamp

/** A router whose requests wait for room, run for [runMilliseconds], and ask again every 20 ms. */
internal class WaitingRouter(
    servers: Int,
    private val runMilliseconds: Long = 500,
    private val waitMilliseconds: Long = 1_000,
) {
    /** A request and what became of it. */
    class Request(
        val prompt: PromptShape,
        val team: TeamId?,
        val arrivedAt: Timestamp,
    ) {
        var startedAt: Timestamp? = null
        var verdict = RoomVerdict.WAITS
        var retryAt: Timestamp? = null
        var endedBy: RoomNotice? = null
        val waitedMilliseconds: Long? get() = startedAt?.let { it.microsecondsSince(arrivedAt) / 1_000 }
    }

    val router = MemoryRouter(servers)
    val queue = router.statistics.roomQueue
    val requests = ArrayList<Request>()
    private val running = ArrayDeque<Pair<Timestamp, Pair<Request, RunningPrompt>>>()
    private val notices = ArrayDeque<Pair<RoomNotice, Request>>()
    private val waiters = HashMap<Request, RoomWaiter>()

    /** Offers [prompt], which starts, waits or is refused. */
    fun offer(prompt: PromptShape, team: TeamId? = null): Request {
        val request = Request(prompt, team, router.now).also { requests += it }
        when (val selection = router.select(prompt, team = team)) {
            is ServerSelection.Selected -> start(request, selection)
            is ServerSelection.NoRoom -> wait(request, selection)
            else -> error("$selection")
        }
        return request
    }

    /** Passes [milliseconds]. */
    fun run(milliseconds: Int) = repeat(milliseconds) {
        router.now = router.now.plusMilliseconds(1)
        while (running.isNotEmpty() && running.first().first <= router.now) end()
        if (router.now.toMilliseconds() % 20 == 0L) {
            queue.expire(router.now)
            queue.giveTurns(router.now)
        }
        handle()
    }

    /** Handles what the waiting requests were told. */
    fun handle() {
        while (notices.isNotEmpty()) notices.removeFirst().let { (notice, request) -> onNotice(notice, request) }
    }

    private fun end() {
        val (request, prompt) = running.removeFirst().second
        router.end(prompt)
        queue.recordHeld(MemoryPrompts.POOL, request.team, -request.prompt.promptTokens.toLong())
        queue.giveTurns(router.now)
    }

    private fun wait(request: Request, selection: ServerSelection.NoRoom) {
        val latest = router.now.plusMilliseconds(waitMilliseconds)
        request.verdict = queue.judge(request.team, selection.freeAt, latest)
        request.retryAt = selection.freeAt
        if (request.verdict != RoomVerdict.WAITS) return
        val need = checkNotNull(selection.need)
        val waiter = RoomWaiter(need, request.team, router.now, latest) { notices += it to request }
        waiters[request] = waiter
        queue.add(waiter)
    }

    private fun onNotice(notice: RoomNotice, request: Request) {
        val waiter = waiters[request] ?: return
        if (notice == RoomNotice.TURN) {
            val asks = queue.asksPerSecond
            val selection = router.select(request.prompt, team = request.team, asksPerSecond = asks)
            if (selection is ServerSelection.NoRoom) return
            if (selection is ServerSelection.Selected) start(request, selection) else request.endedBy = notice
        } else {
            request.endedBy = notice
        }
        queue.remove(waiter)
        waiters.remove(request)
    }

    private fun start(request: Request, selection: ServerSelection.Selected) {
        request.startedAt = router.now
        val prompt = router.begin(selection.server, request.prompt)
        running += router.now.plusMilliseconds(runMilliseconds) to (request to prompt)
        queue.recordHeld(MemoryPrompts.POOL, request.team, request.prompt.promptTokens.toLong())
        waiters[request]?.let(queue::remove)
        queue.giveTurns(router.now)
    }
}
