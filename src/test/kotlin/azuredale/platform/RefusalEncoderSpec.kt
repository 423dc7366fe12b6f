package azuredale.platform

import azuredale.outcome.ErrorKind
import azuredale.outcome.Failure
import azuredale.time.Timestamp
import io.netty.buffer.UnpooledByteBufAllocator
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals

class RefusalEncoderSpec {
    private val encoder = RefusalEncoder()
    private val now = Timestamp.ofMilliseconds(1_000_000)

    @ParameterizedTest
    @CsvSource("0, 0.000", "7, 0.007", "347, 0.347", "1000, 1.000", "12345, 12.345", "-5, 0.000")
    fun `a refusal names the time to return in seconds`(milliseconds: Long, text: String) {
        // Guards against a caller that returns at another time than the router expects it.
        val failure = Failure(ErrorKind.OVERLOADED, retryAt = now.plusMilliseconds(milliseconds))
        val bytes = encoder.encode(failure, now, milliseconds == 7L, UnpooledByteBufAllocator.DEFAULT)
        val close = if (milliseconds == 7L) "Connection: close\r\n" else ""
        assertEquals(
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 42\r\n" +
                "${close}Retry-After: $text\r\n\r\nthe router has no room for another request",
            bytes.toString(Charsets.US_ASCII),
        )
        bytes.release()
    }
}
