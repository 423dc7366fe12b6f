package azuredale.freshness

import azuredale.store.StoreEra
import azuredale.time.Timestamp

/** Lasting note of the latest settled era, for routers that start. */
public interface EraNotes {
    /** Reads the latest settled era, [StoreEra.NONE] if there is none; null if the store gave no usable response. */
    public suspend fun read(deadline: Timestamp): StoreEra?

    /** Writes that [era] is settled; returns whether the store has this note now. */
    public suspend fun write(era: StoreEra, deadline: Timestamp): Boolean
}
