package azuredale.sharing

import azuredale.identity.TeamId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class LookAheadSpec {
    /** Utilisation and peak waiting of servers with six slots that run four requests at once, all of them short. */
    private fun use(lookAhead: Int): Pair<Double, Int> {
        val servers = listOf(testServer("s1", 6), testServer("s2", 6))
        val fleet =
            SharingFleet(
                testDocument(mapOf("a" to 2.0, "b" to 1.0), servers),
                routerCount = 4,
                settings = SharingSettings(lookAhead = lookAhead),
                concurrency = servers.associate { it.id to 4 },
                reportMilliseconds = 100,
            )
        val random = Random(7)
        var busy = 0.0
        var last = fleet.now
        var started = 0
        var mostWaiting = 0
        repeat(100) { round ->
            fleet.routers.forEach { router ->
                listOf("a", "b").map(::TeamId).forEach { team ->
                    while (router.work.values.count { it.team == team } < 60) {
                        router.submit(SharingFleet.Work(team, random.nextDouble(1.0, 8.0)))
                    }
                }
            }
            fleet.run(100) {
                if (round >= 20) busy += fleet.now.secondsSince(last) * started
                last = fleet.now
                started = fleet.running.values.count { it.isStarted }
                val inside =
                    fleet.running.values
                        .filterNot { it.isStarted }
                        .groupBy { it.server }
                if (round >= 20) mostWaiting = maxOf(mostWaiting, inside.values.maxOfOrNull { it.size } ?: 0)
            }
        }
        return busy / (8.0 * 8) to mostWaiting
    }

    @Test
    fun `hides the round trip and keeps few requests waiting inside a server`() {
        // Guards against idle capacity between settlement and grant, and against queueing inside servers.
        val (without, _) = use(lookAhead = 0)
        val (with, waiting) = use(lookAhead = 1)
        println("utilisation $without without look-ahead, $with with one request, at most $waiting waiting")
        assertTrue(with > without, "utilisation $with with look-ahead, $without without")
        assertTrue(with > 0.98, "utilisation $with")
        assertTrue(waiting <= 2, "$waiting requests waiting inside a server")
    }
}
