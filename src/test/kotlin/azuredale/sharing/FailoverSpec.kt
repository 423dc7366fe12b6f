package azuredale.sharing

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class FailoverSpec {
    /** A fault and its recovery; [mostRunning] bounds the requests in flight with 8 slots and a reserve of 2. */
    enum class Fault(
        val mostRunning: Int,
        val inject: FailoverScenario.() -> Unit,
    ) {
        ALLOTTER_CRASH(10, {
            val lost = fleet.allotter()
            dropWaiting(lost)
            fleet.crash(lost)
            others(lost).forEach { fleet.disconnect(it, lost) }
            run(1_000)
            agree(others(lost))
        }),
        ALLOTTER_ISOLATED(16, {
            val lost = fleet.allotter()
            isolate(lost)
            run(1_000)
            others(lost).forEach { fleet.setMembers(it, others(lost).map { peer -> testMember(peer.id) }) }
            fleet.setMembers(lost, listOf(testMember(lost.id)))
            run(1_000)
            lost.mayGiveOutWork = false
            run(3_000)
            rejoin(lost)
        }),
        ALLOTTER_PAUSED_AND_BACK(16, {
            val lost = fleet.allotter()
            fleet.setPaused(lost, true)
            run(2_000)
            others(lost).forEach { fleet.setMembers(it, others(lost).map { peer -> testMember(peer.id) }) }
            run(4_000)
            lost.mayGiveOutWork = false
            fleet.setPaused(lost, false)
            run(500)
            lost.mayGiveOutWork = true
            agree(fleet.routers)
        }),
        ALLOTTER_RESTARTED_EMPTY(10, {
            val lost = fleet.allotter()
            dropWaiting(lost)
            fleet.crash(lost)
            others(lost).forEach { fleet.disconnect(it, lost) }
            fleet.restart(lost)
            run(300)
            rejoin(lost)
        }),
        ALLOTTER_DRAINS(16, {
            val draining = fleet.allotter()
            fleet.routers.reversed().forEach { router ->
                fleet.setMembers(router, router.members.map { it.copy(isDraining = it.router == draining.id) })
                run(100)
            }
        }),
        TWO_ALLOTTERS(16, {
            val first = fleet.allotter()
            val half = others(first).take(3)
            val visible = others(first).map { testMember(it.id) }
            half.forEach { fleet.setMembers(it, visible) }
            run(3_000)
            rejoin(first)
        }),
        REQUESTER_CRASH(10, {
            val lost = others(fleet.allotter()).first()
            dropWaiting(lost)
            fleet.crash(lost)
            run(1_000)
            agree(others(lost))
        }),
        REQUESTER_ALONE(10, {
            val alone = others(fleet.allotter()).first()
            isolate(alone)
            run(2_000)
            others(alone).forEach { fleet.setMembers(it, others(alone).map { peer -> testMember(peer.id) }) }
            alone.mayGiveOutWork = false
            run(2_000)
            rejoin(alone)
        }),
    }

    @ParameterizedTest
    @EnumSource
    fun `recovers to one primary allotter with full utilisation and a bounded fairness gap`(fault: Fault) {
        // Guards against leaked slots, lasting double grants, stalled grants and undue credit from rebuilt counters.
        val scenario = FailoverScenario()
        scenario.run(4_000)
        scenario.probe = FairnessProbe(scenario.fleet)
        fault.inject(scenario)
        scenario.run(maxOf(0, 10_000 - scenario.fleet.now.toMilliseconds() + 4_000))
        println("$fault, 10 s around the fault: gap ${scenario.probe.gap}, utilisation ${scenario.probe.utilisation}")
        scenario.run(5_000)
        val probe = FairnessProbe(scenario.fleet)
        scenario.probe = probe
        scenario.run(10_000)
        val primaries =
            scenario.fleet.routers.filter { router ->
                router.isRunning &&
                    router.allotter
                        .snapshot()
                        .shards
                        .any { it.isPrimary }
            }
        println(
            "$fault, after: most running ${scenario.mostRunning}, gap ${probe.gap}, utilisation ${probe.utilisation}",
        )
        assertEquals(1, primaries.size, "$fault: primaries ${primaries.map { it.id }}")
        assertTrue(scenario.mostRunning <= fault.mostRunning, "$fault: ${scenario.mostRunning} requests in flight")
        assertTrue(probe.utilisation > 0.95, "$fault: utilisation ${probe.utilisation}")
        val bound = probe.bound(perRequest = 2 * 20.0)
        assertTrue(probe.gap <= bound, "$fault: gap ${probe.gap} exceeds $bound")
        scenario.fleet.run(30_000)
        val shard =
            primaries
                .single()
                .allotter
                .snapshot()
                .shards
                .single()
        assertEquals(emptyList(), shard.grants, "$fault: leaked grants")
        assertTrue(shard.servers.all { it.inFlight == 0 }, "$fault: ${shard.servers}")
        assertEquals(
            0,
            scenario.fleet.waiting.values
                .sum(),
            "$fault: requests still waiting",
        )
    }
}
