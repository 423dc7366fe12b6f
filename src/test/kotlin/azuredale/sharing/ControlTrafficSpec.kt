package azuredale.sharing

import azuredale.identity.TeamId
import kotlin.math.pow
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class ControlTrafficSpec {
    @Test
    fun `stays within the bytes per request and per node at the design size`() {
        // Guards against redundant control messages, and against idle shards while requests queue at others.
        // Request rate per node and costs are those of the design size, the largest fleet that is supported.
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
                // Skews the load to a few teams, so that about a tenth of the teams is backlogged.
                val team = TeamId("team-${1 + (150 * random.nextDouble().pow(3)).toInt()}")
                val work = SharingFleet.Work(team, random.nextDouble(100.0, 800.0), hint = 450.0)
                fleet.routers.random(random).submit(work)
            }
            fleet.run(100)
        }
        val perRequest = meter.bytes.toDouble() / fleet.granted.size
        val perNode = meter.bytesOfNode.values.map { it.toDouble() / seconds }
        println("bytes per request $perRequest, per second and node: mean ${perNode.average()}, max ${perNode.max()}")
        println("granted ${fleet.granted.size}, bytes by message type ${meter.bytesOfKind}")
        assertTrue(
            fleet.running.size >= 760,
            "${fleet.running.size} of 800 slots busy with ${fleet.waiting.values.sum()} waiting",
        )
        assertTrue(perRequest <= 600, "$perRequest bytes per request")
        assertTrue(perNode.max() <= 9_000, "${perNode.max()} bytes per second at the busiest node")
    }
}
