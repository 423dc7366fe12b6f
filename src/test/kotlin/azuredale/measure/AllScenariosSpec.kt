package azuredale.measure

import azuredale.node.RouterNode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.io.path.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class AllScenariosSpec {
    private val files = Path("scenarios").listDirectoryEntries("*.scenario").sorted()

    /** Guards against combinations of faults that violate an invariant; a failure prints the seed and last events. */
    @TestFactory
    fun `the decision code passes every scenario`(): List<DynamicTest> {
        assertTrue(files.size >= 20, "only ${files.size} scenarios found")
        return files.map { file ->
            DynamicTest.dynamicTest(file.name) {
                val output = StringBuilder()
                val options =
                    MeasureOptions(createCore = {
                        settings,
                        incarnation,
                        random,
                        ->
                        RouterNode(settings, incarnation, random)
                    }, scenario = file)
                assertEquals(MeasureExit.PASSED, runMeasure(options, output), output.toString())
            }
        }
    }
}
