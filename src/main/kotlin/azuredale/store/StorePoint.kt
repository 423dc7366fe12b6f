package azuredale.store

/** Era of the store's history. It rises each time the store returns from an older copy. */
@JvmInline
public value class StoreEra(public val number: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** Era of a store that names none. */
        public val NONE: StoreEra = StoreEra(0)
    }
}

/**
 * Point in the store's history.
 *
 * After a return from an older copy the store gives out its latest revisions again, so revisions are compared within
 * one era only. Every point of a later era comes after all points of the earlier ones.
 */
public data class StorePoint(
    public val era: StoreEra,
    public val revision: Long,
) : Comparable<StorePoint> {
    override fun compareTo(other: StorePoint): Int = compareValuesBy(this, other, { it.era }, { it.revision })

    override fun toString(): String = "$era/$revision"

    public companion object {
        /** Before the first change. */
        public val NONE: StorePoint = StorePoint(StoreEra.NONE, 0)
    }
}
