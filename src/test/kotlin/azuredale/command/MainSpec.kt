package azuredale.command

import kotlin.test.Test
import kotlin.test.assertFailsWith

class MainSpec {
    @Test
    fun `refuses an empty command line`() {
        assertFailsWith<IllegalArgumentException> { main(emptyArray()) }
    }
}
