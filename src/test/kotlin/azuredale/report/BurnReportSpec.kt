package azuredale.report

import azuredale.identity.Incarnation
import azuredale.identity.PoolId
import azuredale.identity.RouterId
import azuredale.identity.TeamId
import azuredale.time.Timestamp
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.xml.sax.InputSource
import java.io.StringReader
import javax.xml.parsers.DocumentBuilderFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BurnReportSpec {
    private val now = Timestamp(1_700_000_040_000_000)
    private val report =
        BurnTracker(RouterId("r-1"), Incarnation(1)).run {
            repeat(60) { minute ->
                val at = now.plusSeconds(minute * 60L)
                repeat(
                    8,
                ) {
                    requestEnded(
                        BurnKey(TeamId("a<b&\"c"), PoolId("models")),
                        EndedRequest(it == 0, 70_000, 40_000),
                        at,
                    )
                }
                requestEnded(BurnKey(TeamId("orchard"), PoolId("records")), EndedRequest(false, 5_000), at)
            }
            report(listOf(RouterId("r-1"), RouterId("r-9")), now.plusSeconds(59 * 60L))
        }

    @Test
    fun `text shows burn rates, missing routers and latencies`() {
        val lines = report.toText().lines()
        assertTrue(lines[1].endsWith("r-9"), lines[1])
        assertTrue(
            Regex("""a<b&"c +models +slow|a<b&"c +models +none|a<b&"c +models +fast""").containsMatchIn(lines[3]),
        )
        assertTrue("12.50" in lines[3] && "480" in lines[3], lines[3])
        assertTrue(lines.any { it.startsWith("models: first token 70.") }, report.toText())
    }

    @Test
    fun `JSON contains the counts of the one-hour window`() {
        val row =
            report
                .toJson()
                .getValue("rows")
                .jsonArray
                .first()
                .jsonObject
        val hour =
            row
                .getValue("windows")
                .jsonObject
                .getValue("1h")
                .jsonObject
        assertEquals("480", hour.getValue("ended").jsonPrimitive.content)
        assertEquals("60", hour.getValue("failed").jsonPrimitive.content)
    }

    @Test
    fun `HTML page is well-formed, escapes names and loads no external resources`() {
        // Guards against markup injection through a team name.
        val page = report.toHtml()
        val body = page.substring(page.indexOf("<body>"), page.indexOf("</html>"))
        val parsed = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(InputSource(StringReader(body)))
        assertEquals(2, parsed.getElementsByTagName("polyline").length)
        assertEquals("a<b&\"c", parsed.getElementsByTagName("td").item(0).textContent)
        assertTrue(Regex("src=|href=|url\\(|@import|http").findAll(page).none(), "the page loads an external resource")
    }
}
