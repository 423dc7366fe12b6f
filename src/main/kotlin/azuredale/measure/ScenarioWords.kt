package azuredale.measure

import azuredale.identity.PoolId
import azuredale.identity.ServerId
import azuredale.outcome.ErrorKind

/** Converts words of a scenario to values; the message of an [IllegalArgumentException] names the invalid word. */
internal class ScenarioWords(private val profile: Profile) {
    private val routers = List(profile.routers) { FleetAddresses.routerName(it).name }
    private val domains =
        profile.document.failureDomains.keys
            .map { it.name }

    /** Parses an unsigned time such as `2s`, `1.5s` or `300ms` to microseconds. */
    fun time(word: String): Long {
        val unit = if (word.endsWith("ms")) EventQueue.MILLISECOND else EventQueue.SECOND
        val number = word.removeSuffix("ms").removeSuffix("s").toDoubleOrNull()
        require(number != null && number >= 0 && word.endsWith("s")) { "'$word' is not a time such as 2s or 300ms" }
        return (number * unit).toLong()
    }

    fun number(word: String): Double =
        requireNotNull(word.removeSuffix("%").toDoubleOrNull()) { "'$word' is not a number" }
            .let { if (word.endsWith("%")) it / PERCENT else it }

    fun server(word: String): ServerId =
        ServerId(word).also { require(it in profile.servers) { "server '$word' does not exist in the profile" } }

    fun pool(word: String): PoolId =
        PoolId(word).also { require(it in profile.document.pools) { "pool '$word' does not exist in the profile" } }

    fun batch(word: String): String = word.also {
        require(
            profile.document.servers.values
                .any { server -> server.batch?.name == word },
        ) {
            "batch '$word' does not exist in the profile"
        }
    }

    fun team(word: String): TeamPlan = requireNotNull(
        profile.teams.firstOrNull { it.id.name == word },
    ) { "team '$word' does not exist in the profile" }

    fun kind(word: String): ErrorKind =
        requireNotNull(ErrorKind.entries.firstOrNull { it.name == word }) { "error kind '$word' does not exist" }

    /** Resolves a router, a failure domain, `every-router` or `allotter`; the allotter is known only during the run. */
    fun routers(word: String): (ScenarioRun) -> List<RouterHost> {
        require(word in routers || word in domains || word in GROUPS) { "router or group '$word' does not exist" }
        return { run ->
            val fleet = run.fleet
            when (word) {
                EVERY_ROUTER -> fleet.hosts
                ALLOTTER -> listOf(checkNotNull(Fault.allotterOf(fleet)) { "no router has granted a slot yet" })
                else -> fleet.hosts.filter { it.name == word || it.settings.failureDomain.name == word }
            }
        }
    }

    /** Resolves endpoint names: routers, a server, the platform, or `rest`, which is all routers except [others]. */
    fun endpoints(
        word: String,
        others: (ScenarioRun) -> List<String> = { emptyList() },
    ): (ScenarioRun) -> List<String> = when {
        word == FakeNetwork.PLATFORM || ServerId(word) in profile.servers -> { _ -> listOf(word) }
        word == REST -> { run -> run.fleet.hosts.map { it.name } - others(run).toSet() }
        else -> routers(word).let { find -> { run -> find(run).map { it.name } } }
    }

    private companion object {
        const val PERCENT = 100
        const val EVERY_ROUTER = "every-router"
        const val ALLOTTER = "allotter"
        const val REST = "rest"
        val GROUPS = setOf(EVERY_ROUTER, ALLOTTER)
    }
}
