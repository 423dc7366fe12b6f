package azuredale.measure

import azuredale.identity.Revision

/** A request that reached a server. */
internal class ArrivalRecord(
    val time: Long,
    val server: FakeServer,
    val router: Int,
) {
    override fun toString(): String =
        "${server.entry.id} got work from ${FleetAddresses.routerName(router)} at ${time / EventQueue.MILLISECOND} ms"
}

/** Called before the run; returns a check to call after it, which returns what was observed instead, or null. */
internal typealias PreparedCheck = (ScenarioRun) -> () -> String?

/** The statements that may follow `expect`. */
internal class ScenarioExpectations(private val words: ScenarioWords) {
    val forms: List<StatementForm<PreparedCheck>> = work() + windows() + totals() + state() + answers()

    private fun form(pattern: String, build: (Map<String, String>) -> PreparedCheck) = StatementForm(pattern, build)

    private fun work() = listOf(
        form("no new work on batch {batch} after {from}") {
            val batch = words.batch(it.getValue("batch"))
            noArrival(it) { _, arrival ->
                arrival.server.entry.batch
                    ?.name == batch
            }
        },
        form("no new work on server {server} after {from}") {
            val server = words.server(it.getValue("server"))
            noArrival(it) { _, arrival -> arrival.server.entry.id == server }
        },
        form("no new work by {routers} between {from} and {until}") {
            val find = words.routers(it.getValue("routers"))
            noArrival(it) { run, arrival -> find(run).any { host -> host.index == arrival.router } }
        },
        form("new work on {pool} between {from} and {until}") {
            val pool = words.pool(it.getValue("pool"))
            val time = interval(it)
            atEnd { run ->
                val isFound = run.arrivals.any { arrival -> arrival.server.entry.pool == pool && arrival.time in time }
                "no request reached $pool".takeIf { !isFound }
            }
        },
    )

    private fun windows() = listOf(
        form("utilisation of {pool} at least {limit} between {from} and {until}") {
            val pool = words.pool(it.getValue("pool"))
            val limit = words.number(it.getValue("limit"))
            val time = interval(it)
            prepared { run ->
                val window = run.fleet.recorder.addUtilisation(pool, time.first, time.last)
                return@prepared { "utilisation ${window.share}".takeIf { (window.share ?: 1.0) < limit } }
            }
        },
        form("gap of {pool} at most {limit} times global between {from} and {until}") {
            val pool = words.pool(it.getValue("pool"))
            val limit = words.number(it.getValue("limit"))
            val time = interval(it)
            prepared { run ->
                val windows =
                    listOf(run.fleet.recorder, run.global.recorder).map { recorder ->
                        recorder.addWindow(pool, time.first).also { window -> recorder.freezeAt(window, time.last) }
                    }
                return@prepared {
                    val (own, global) = windows.map { window -> window.gap.figure?.gap ?: 0.0 }
                    "gap $own, global queue $global".takeIf { own > limit * global }
                }
            }
        },
    )

    private fun totals() = listOf(
        form("no team without service for {limit}") {
            val limit = words.time(it.getValue("limit"))
            atEnd { run ->
                val longest =
                    run.fleet.recorder.meters.values
                        .mapNotNull { meter -> meter.longestStarvation }
                val (team, time) = longest.maxByOrNull { (_, time) -> time } ?: return@atEnd null
                "$team waited ${Figures.seconds(time)} s without service".takeIf { time > limit }
            }
        },
        form("at most {limit} calls per second to platform") {
            val limit = words.number(it.getValue("limit"))
            atEnd { run ->
                val rate = run.fleet.platform.calls / Figures.seconds(run.scenario.end)
                "$rate calls per second".takeIf { rate > limit }
            }
        },
    )

    private fun state() = listOf(
        form("{routers} at revision {revision} by {time}") {
            val revision = Revision(words.number(it.getValue("revision")).toLong())
            everyRouter(it) { host -> !host.isUp || host.revision >= revision }
        },
        form("{routers} drained by {time}") { everyRouter(it) { host -> !host.isUp } },
    )

    private fun answers() = listOf(
        form("at least {count} complete answers") {
            val count = words.number(it.getValue("count"))
            atEnd { run -> "${run.count(null)} complete answers".takeIf { run.count(null) < count } }
        },
        form("at most {count} answers {kind}") {
            val count = words.number(it.getValue("count"))
            val kind = words.kind(it.getValue("kind"))
            atEnd { run -> "${run.count(kind)} answers $kind".takeIf { run.count(kind) > count } }
        },
        form("some answer {kind}") {
            val kind = words.kind(it.getValue("kind"))
            atEnd { run -> "no answer $kind".takeIf { run.count(kind) == 0 } }
        },
    )

    private fun interval(found: Map<String, String>): LongRange =
        words.time(found.getValue("from"))..(found["until"]?.let(words::time) ?: Long.MAX_VALUE)

    private fun prepared(check: PreparedCheck): PreparedCheck = check

    private fun atEnd(check: (ScenarioRun) -> String?): PreparedCheck = { run -> { check(run) } }

    private fun noArrival(found: Map<String, String>, isMatch: (ScenarioRun, ArrivalRecord) -> Boolean): PreparedCheck {
        val time = interval(found)
        return atEnd { run -> run.arrivals.firstOrNull { it.time in time && isMatch(run, it) }?.toString() }
    }

    /** Evaluates [isAsExpected] for the routers at the given time. */
    private fun everyRouter(found: Map<String, String>, isAsExpected: (RouterHost) -> Boolean): PreparedCheck {
        val find = words.routers(found.getValue("routers"))
        val time = words.time(found.getValue("time"))
        return prepared { run ->
            var others = emptyList<String>()
            run.fleet.queue.at(time) { others = find(run).filterNot(isAsExpected).map { it.name } }
            return@prepared { "not met by ${others.joinToString()}".takeIf { others.isNotEmpty() } }
        }
    }
}
