package azuredale.catalog

import azuredale.store.StorePoint

/**
 * Identifies a stored configuration and orders it among others.
 *
 * @property point where in the store's history it was written.
 * @property version the operators' version number, which only rises.
 */
public data class CatalogMark(
    val point: StorePoint,
    val version: Long,
) {
    /** Whether there is no configuration. */
    public val isNone: Boolean get() = point.revision == 0L

    /**
     * Whether this configuration is newer than [other].
     *
     * Within an era the store's order decides. Across eras the operators' version does: a copy from which the store
     * returned may hold a configuration that has been replaced.
     */
    public fun isNewerThan(other: CatalogMark): Boolean = when {
        other.isNone -> !isNone
        point.era == other.point.era -> point.revision > other.point.revision
        else -> version > other.version
    }

    /** Whether both are the same configuration, which may have been written again in a later era. */
    public fun isSameAs(other: CatalogMark): Boolean = when {
        isNone || other.isNone -> isNone == other.isNone
        point.era == other.point.era -> point.revision == other.point.revision
        else -> version == other.version
    }

    override fun toString(): String = "$version at $point"

    public companion object {
        /** No configuration. */
        public val NONE: CatalogMark = CatalogMark(StorePoint.NONE, 0)
    }
}
