package azuredale.sharing

import azuredale.identity.TeamId
import kotlin.random.Random

/** Five routers and three permanently backlogged teams, with operations to inject faults and to recover. */
internal class FailoverScenario {
    val servers = listOf(testServer("s1", 4), testServer("s2", 4))
    private val teams = mapOf("large" to 4.0, "middle" to 2.0, "small" to 1.0)
    val fleet =
        SharingFleet(
            testDocument(teams, servers),
            routerCount = 5,
            speeds =
                servers.associate {
                    it.id to
                        20.0
                },
        )
    private val random = Random(1)
    var mostRunning = 0

    /** Measures fairness gap and utilisation from its creation on. */
    var probe = FairnessProbe(fleet)

    fun run(milliseconds: Long): Unit = repeat((milliseconds / 100).toInt()) {
        fleet.routers.filter { it.isRunning }.forEach { router ->
            teams.keys.map(::TeamId).forEach { team ->
                if (router.work.values.count { it.team == team } < 12) {
                    repeat(4) { router.submit(SharingFleet.Work(team, random.nextDouble(1.0, 20.0))) }
                }
            }
        }
        fleet.run(100) {
            mostRunning = maxOf(mostRunning, fleet.running.size)
            probe.step()
        }
    }

    fun others(router: SharingFleet.Router) = fleet.routers.filter { it !== router && it.isRunning }

    /** Sets the membership view of every running router to [visible]. */
    fun agree(visible: List<SharingFleet.Router>): Unit = fleet.routers.filter { it.isRunning }.forEach { router ->
        fleet.setMembers(router, visible.map { testMember(it.id, it.incarnation) })
    }

    fun isolate(router: SharingFleet.Router) {
        fleet.isPartitioned = { from, to -> (from == router.id) != (to == router.id) }
        others(router).forEach {
            fleet.disconnect(it, router)
            fleet.disconnect(router, it)
        }
    }

    fun rejoin(router: SharingFleet.Router) {
        fleet.isPartitioned = { _, _ -> false }
        others(router).forEach {
            fleet.connect(it, router)
            fleet.connect(router, it)
        }
        router.mayGiveOutWork = true
        agree(fleet.routers.filter { it.isRunning })
    }

    fun dropWaiting(router: SharingFleet.Router): Unit =
        router.work.values.forEach { fleet.waiting.merge(it.team, -1, Int::plus) }
}
