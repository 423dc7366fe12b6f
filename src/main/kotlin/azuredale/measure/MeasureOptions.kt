package azuredale.measure

import azuredale.membership.DatagramCodec
import azuredale.transport.MessageSizes
import java.nio.file.Path

/**
 * Options of `azuredale measure`, and the decision code that it measures.
 *
 * @property profile `pampa-sinal` or `helmsway`; unused with [scenario].
 * @property fault label of a fault, or null for a run without one.
 * @property seed generates load, delays and the random numbers of the decision code.
 * @property isJson whether to print JSON.
 * @property routers number of routers; servers and load scale in proportion.
 * @property scenario scenario file to run instead of a profile.
 * @property shards number of shards of each pool; current fleets have one.
 * @property createCore creates the decision code of one router.
 * @property messageSize bytes of a message in the transport's encoding.
 * @property datagramSize bytes of a datagram in the transport's encoding.
 */
public class MeasureOptions(
    public val createCore: CoreFactory,
    public val profile: String = "pampa-sinal",
    public val fault: String? = null,
    public val seed: Long = 1,
    public val isJson: Boolean = false,
    public val routers: Int = 8,
    public val scenario: Path? = null,
    public val shards: Int = 1,
    public val messageSize: MessageSize = MessageSizes(),
    public val datagramSize: DatagramSize = DatagramCodec(ByteArray(1)).let { codec -> { codec.encode(it).size } },
)
