@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package azuredale.peers

import azuredale.catalog.CatalogMark
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Point in the store's history, as reports contain it. */
@Serializable
internal class PointEntry(
    @CborLabel(1) val revision: Long,
    @CborLabel(2) val era: Long = 0,
) {
    fun toPoint() = StorePoint(StoreEra(era), revision)

    companion object {
        fun of(point: StorePoint) = PointEntry(point.revision, point.era.number)
    }
}

/** A configuration, by the point at which it was written and the operators' version. */
@Serializable
internal class CatalogMarkEntry(
    @CborLabel(1) val point: PointEntry,
    @CborLabel(2) val version: Long,
) {
    fun toMark() = CatalogMark(point.toPoint(), version)

    companion object {
        fun of(mark: CatalogMark) = CatalogMarkEntry(PointEntry.of(mark.point), mark.version)
    }
}

/**
 * The catalog as known to the sender.
 *
 * @property age age of the proof that it was the newest.
 * @property newest the newest catalog that any router is known to have had; null if it is this one.
 */
@Serializable
internal class CatalogProofEntry(
    @CborLabel(1) val mark: CatalogMarkEntry,
    @CborLabel(2) val age: Long,
    @CborLabel(3) val newest: CatalogMarkEntry? = null,
)

/** The era of the store's history, and the microseconds for which routers have known it, up to the time it settles. */
@Serializable
internal class EraEntry(
    @CborLabel(1) val era: Long,
    @CborLabel(2) val age: Long,
)
