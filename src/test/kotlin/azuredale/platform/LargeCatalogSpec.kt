package azuredale.platform

import azuredale.freshness.CatalogRead
import azuredale.store.KeyVersion
import azuredale.store.WriteResult
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Load pattern: a configuration that has grown by 1,400 routes, read beside requests. */
class LargeCatalogSpec {
    private fun routes(count: Int) = (0 until count).joinToString(",", """{"version":7,"routes":[""", "]}") { index ->
        """{"name":"route-$index","host":"host-${index % 20}.example","path-prefix":"/path-$index/","kind":"idempotent",
           "service":"service-${index % 9}","timeout-ms":2500,"target-latency-ms":400,"max-attempts":3}"""
    }

    @Test
    fun `the event loop goes on while a large catalog is decoded`() {
        // Guards against requests that wait, and callers that get no address answers, while routes are decoded.
        PlatformFixture.run {
            val written =
                client.write(StoreKey.CATALOG, routes(1_400).encodeToByteArray(), KeyVersion.ABSENT, deadline())
            assertIs<WriteResult.Written>(written)
            val decoder = LargeValueDecoder(vertx)
            val reader =
                PlatformStoreReader(client, readsEvacuations = true) { size, decode ->
                    decoder.decode(size) {
                        Thread.sleep(DECODE_MILLISECONDS)
                        decode()
                    }
                }
            withContext(vertx.dispatcher()) {
                var turns = 0
                val ticks =
                    launch {
                        while (isActive) {
                            delay(TICK_MILLISECONDS)
                            turns++
                        }
                    }
                val read = async { reader.readCatalog({ false }, deadline()).catalog }.await()
                assertEquals(1_400, assertIs<CatalogRead.Unknown>(read).catalog.routes.size)
                assertTrue(turns > DECODE_MILLISECONDS / TICK_MILLISECONDS / 4, "$turns turns")
                val again = reader.readCatalog({ it == read.catalog.mark.point }, deadline()).catalog
                assertEquals(CatalogRead.Unchanged(read.catalog.mark.point), again)
                ticks.cancel()
            }
        }
    }

    @Test
    fun `a large value is decoded only when it is used`() {
        // Guards against routers that decode an unchanged configuration with each of their reads.
        val value = ItemMessage("key", "?".repeat(LargeValueDecoder.LARGE_SIZE), revision = 5).toValue()
        assertEquals(KeyVersion(5), value.version)
        assertFailsWith<IllegalArgumentException> { value.bytes }
    }

    private companion object {
        const val DECODE_MILLISECONDS = 800L
        const val TICK_MILLISECONDS = 10L
    }
}
