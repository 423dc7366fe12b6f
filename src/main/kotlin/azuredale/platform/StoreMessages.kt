package azuredale.platform

import azuredale.store.KeyVersion
import azuredale.store.StoredItem
import azuredale.store.StoredValue
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.Base64

/** A key and its value in the store's responses; the value is Base64-encoded. */
@Serializable
internal class ItemMessage(
    val key: String,
    val value: String = "",
    val revision: Long = 0,
    @SerialName("removed") val isRemoved: Boolean = false,
    @SerialName("store-revision") val storeRevision: Long = 0,
) {
    /** The stored value, which is decoded only when it is used if it is large. */
    fun toValue(): StoredValue = if (value.length < LargeValueDecoder.LARGE_SIZE) {
        StoredValue(decode(), KeyVersion(revision))
    } else {
        StoredValue(KeyVersion(revision), value.length, ::decode)
    }

    fun toItem(): StoredItem = StoredItem(key, toValue())

    private fun decode() = Base64.getDecoder().decode(value)
}

@Serializable
internal class RangeMessage(
    val items: List<ItemMessage> = emptyList(),
    @SerialName("more-pages") val hasMore: Boolean = false,
    @SerialName("store-revision") val storeRevision: Long,
)

@Serializable
internal class WatchMessage(
    val events: List<ItemMessage> = emptyList(),
    @SerialName("store-revision") val storeRevision: Long,
)

@Serializable
internal class TransactionMessage(
    // Revision that each key must have; 0 for a key that must not exist.
    @SerialName("expected-revision") val expected: List<ExpectedMessage>,
    val puts: List<PutMessage>,
    @SerialName("remove") val removed: List<String> = emptyList(),
)

@Serializable
internal class ExpectedMessage(
    val key: String,
    val revision: Long,
)

@Serializable
internal class PutMessage(
    val key: String,
    val value: String,
    val lease: Long,
)

@Serializable
internal class WrittenMessage(val revision: Long)

@Serializable
internal class ConflictMessage(val items: List<ItemMessage> = emptyList())

/** A lease; [milliseconds] is the granted duration, counted from the arrival of the call. */
@Serializable
internal class LeaseMessage(
    val lease: Long = 0,
    @SerialName("ttl-ms") val milliseconds: Long,
)

@Serializable
internal class LeaseRequest(
    @SerialName("ttl-ms") val milliseconds: Long,
)
