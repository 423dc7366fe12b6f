package azuredale.selftest

import azuredale.platform.PlatformPath
import azuredale.standin.BackendBehaviour
import azuredale.standin.BackendCall
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait

/**
 * Sends requests of every kind through one gateway that is connected to stand-ins.
 *
 * It checks whether an installed program works on a VM. It also loads the classes that a router needs, so the build
 * records the class-data archive (CDS) from a run of it.
 *
 * ```
 * val faults = SelfTest().run()
 * check(faults.isEmpty())
 * ```
 */
public class SelfTest {
    private val faults = mutableListOf<String>()

    /** Runs all checks; returns a message for each one that failed. */
    public suspend fun run(): List<String> {
        val vertx = Vertx.vertx()
        try {
            val fixture = GatewayFixture(vertx)
            fixture.servers.forEach { it.behaviour = ::behaviourOf }
            fixture.start()
            fixture.startPeer()
            repeat(ROUNDS) { round -> checkRound(fixture, round) }
            checkCalls(fixture)
        } finally {
            vertx.close().coAwait()
        }
        return faults
    }

    private suspend fun checkRound(fixture: GatewayFixture, round: Int) {
        expect("plain", OK to "ok", fixture.get("/plain/$round"))
        expect("non-idempotent", OK to "ok", fixture.get("/once/$round"))
        expect("stream", OK to STREAM, fixture.get("/stream/$round", prompt = "aa:100,b$round:100,c$round:100"))
        expectStatus("unknown key", UNAUTHORIZED, fixture.get("/plain/$round", key = "unknown"))
        expectStatus("unknown route", NOT_FOUND, fixture.get("/none/$round"))
        expectStatus("refused by the servers", UNAVAILABLE, fixture.get("/once/refuse"))
        expectStatus("connection closed by the server", BAD_GATEWAY, fixture.get("/once/reset"))
    }

    private suspend fun checkCalls(fixture: GatewayFixture) {
        expectStatus("readiness", OK, fixture.call(PlatformPath.READY))
        expectStatus(
            "addresses",
            OK,
            fixture.call("${PlatformPath.ADDRESSES}?name=api.example&region=region&zone=domain"),
        )
        expectStatus("metrics", OK, fixture.call("/metrics"))
    }

    private fun behaviourOf(call: BackendCall): BackendBehaviour = when {
        call.target.startsWith("/stream/") -> BackendBehaviour.Stream(first = 1, last = EVENTS)
        call.target.endsWith("/refuse") -> BackendBehaviour.NotExecuted()
        call.target.endsWith("/reset") -> BackendBehaviour.Disconnect
        else -> BackendBehaviour.Respond("ok")
    }

    private fun expect(what: String, expected: Pair<Int, String>, seen: ReceivedResponse) {
        if (expected != seen.status to seen.text) faults += "$what: expected $expected, got ${seen.status} ${seen.text}"
    }

    private fun expectStatus(what: String, expected: Int, seen: ReceivedResponse) {
        if (expected != seen.status) faults += "$what: expected status $expected, got ${seen.status} ${seen.text}"
    }

    private companion object {
        /** Enough rounds to load and link the code that every request runs. */
        const val ROUNDS = 5
        const val EVENTS = 3L
        const val OK = 200
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        val STREAM = (1..EVENTS).joinToString("") { "id: $it\ndata: event $it\n\n" }
    }
}
