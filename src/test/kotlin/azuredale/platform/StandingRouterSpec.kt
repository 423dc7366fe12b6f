package azuredale.platform

import azuredale.standin.PlatformFaults
import azuredale.store.ReadResult
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlin.test.Test
import kotlin.test.assertIs

class StandingRouterSpec {
    @Test
    fun `a response that arrived in time is read by a router that stood still at the deadline`() {
        // Guards against a crowded router that never gets the configuration because its timers run before its reads.
        PlatformFixture.run {
            client.read("absent", deadline())
            standIn.faults = PlatformFaults(delayMilliseconds = 150)
            withContext(vertx.dispatcher()) {
                val read = async(start = CoroutineStart.UNDISPATCHED) { client.read("absent", deadline(400)) }
                delay(100)
                Thread.sleep(600)
                assertIs<ReadResult.Missing>(read.await())
            }
        }
    }
}
