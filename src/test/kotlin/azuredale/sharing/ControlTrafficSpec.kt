package azuredale.sharing

import azuredale.identity.TeamId
import kotlin.math.pow
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class ControlTrafficSpec {
    @Test
    fun `stays within the bytes per request and per node at the design size`() {
        // Guards against reports that repeat what is known, and against shards that idle while others queue. The rate per node and the cost are those of the design size.
        val servers = List(40) { testServer("s$it", 20) }
        val teams = (1..150).associate { "team-$it" to 1.0 }
        val speeds = servers.associate { it.id to 45.0 }
        val fleet = SharingFleet(testDocument(teams, servers, shards = 20), routerCount = 20, speeds = speeds)
        fleet.run(2_000)
        val meter = TrafficMeter()
        fleet.onSend = meter::sent
        val random = Random(3)
        val seconds = 60
        repeat(seconds * 10) {
            repeat(8) {
                // A few teams send most requests, so that about a tenth has work waiting.
                val team = TeamId("team-${1 + (150 * random.nextDouble().pow(3)).toInt()}")
                val work = SharingFleet.Work(team, random.nextDouble(100.0, 800.0), hint = 450.0)
                fleet.routers.random(random).submit(work)
            }
            fleet.run(100)
        }
        val perRequest = meter.bytes.toDouble() / fleet.granted.size
        val perNode = meter.bytesOfNode.values.map { it.toDouble() / seconds }
        println("bytes per request $perRequest, per second and node: mean ${perNode.average()}, worst ${perNode.max()}")
        println("granted ${fleet.granted.size}, by kind ${meter.bytesOfKind}")
        assertTrue(
            fleet.running.size >= 760,
            "${fleet.running.size} of 800 slots busy with ${fleet.waiting.values.sum()} waiting",
        )
        assertTrue(perRequest <= 600, "$perRequest bytes per request")
        assertTrue(perNode.max() <= 9_000, "${perNode.max()} bytes per second at the worst node")
    }
}
