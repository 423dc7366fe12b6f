package azuredale.platform

import azuredale.gateway.FleetBounds
import azuredale.identity.FailureDomain
import azuredale.identity.Region
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

class SettingsFileSpec {
    private val text =
        """
        node=edge-1
        region=region
        zone=zone
        ip=10.0.0.1
        listen.front=10.0.0.1:8783
        listen.ready=10.0.0.1:8780
        listen.directory=10.0.0.1:8789
        port-range=7400,7415
        platform.address=10.0.0.9:8781
        """.trimIndent()

    @Nested
    inner class OptionalBounds {
        private fun bounds(lines: String) =
            assertIs<SettingsResult.Valid>(SettingsFile.parse("$text\n$lines")).settings.bounds

        @Test
        fun `that are missing or 0 switch nothing on`() {
            // Guards against deployments that change because a later version knows more settings.
            assertEquals(FleetBounds(), bounds("bounds.evacuate-ms=0\nbounds.cold-over=0"))
        }

        @Test
        fun `name the regions of failure domains`() {
            val result =
                assertIs<SettingsResult.Valid>(SettingsFile.parse("$text\nzones.sul-a=sul\nzones.norte-a=norte"))
            val expected = mapOf(FailureDomain("sul-a") to Region("sul"), FailureDomain("norte-a") to Region("norte"))
            assertEquals(expected, result.settings.regions)
        }

        @Test
        fun `are read`() {
            val bounds = bounds("bounds.evacuate-ms=5000\nbounds.cold-over=1.5\nbounds.cold-slack=5")
            assertEquals(5_000, bounds.evacuationBoundMilliseconds)
            assertEquals(1.5 to 5.0, bounds.coldFactor to bounds.coldAllowance)
        }
    }

    @Nested
    inner class Memory {
        @ParameterizedTest
        @CsvSource("'', ", "0, ", "88, 92274688")
        fun `of the VM is read, and is not bounded without a limit`(limit: String, bytes: Long?) {
            // Guards against a router that regards a missing limit as no memory at all.
            val result = assertIs<SettingsResult.Valid>(SettingsFile.parse("$text\nlimits.memory-mb=$limit"))
            assertEquals(bytes, result.settings.memoryBytes)
        }
    }

    @Nested
    inner class Switches {
        private fun parse(lines: String, vararg overrides: String) =
            SettingsFile.parse("$text\n$lines", overrides.toList())

        private fun weighsPrefixes(lines: String, vararg overrides: String) =
            assertIs<SettingsResult.Valid>(parse(lines, *overrides)).settings.weighsPrefixes

        @Test
        fun `are on unless the file or the command line says off`() {
            assertTrue(weighsPrefixes(""))
            assertFalse(weighsPrefixes("prefixes.weigh=off"))
            assertTrue(weighsPrefixes("prefixes.weigh=off", "prefixes.weigh=on"))
        }

        @Test
        fun `with another value are a fault, and so is an override without a value`() {
            val result = assertIs<SettingsResult.Invalid>(parse("prefixes.weigh=no", "prefixes"))
            val faults =
                listOf(
                    "\"prefixes\" has no value, expected KEY=VALUE",
                    "prefixes.weigh is \"no\", expected on or off",
                )
            assertEquals(faults, result.faults)
        }
    }

    @Nested
    inner class Descriptors {
        @ParameterizedTest
        @CsvSource("'', 2337", "0, 2337", "3075, 1725", "8192, 4795", "100, 1", "9000000000, 1288490068")
        fun `bound the connections of callers`(limit: String, connections: Int) {
            // Guards against a router that lets no caller in because the limit is missing, 0 or very large.
            val result = assertIs<SettingsResult.Valid>(SettingsFile.parse("$text\nlimits.max-fds=$limit"))
            assertEquals(connections, result.settings.maximumCallerConnections)
        }

        @Test
        fun `that are no number are a fault`() {
            val result = assertIs<SettingsResult.Invalid>(SettingsFile.parse("$text\nlimits.max-fds=many"))
            assertEquals(listOf("limits.max-fds is \"many\", expected a non-negative number"), result.faults)
        }
    }
}
