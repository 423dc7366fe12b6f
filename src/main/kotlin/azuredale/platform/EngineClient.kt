package azuredale.platform

import azuredale.identity.AdapterName
import azuredale.identity.ModelVersion
import azuredale.identity.NetworkAddress
import azuredale.time.Timestamp

/** What an engine does in its pool. */
public enum class EngineRole { SERVE, PREFILL, DECODE }

/** The state that an engine is ordered to reach; a null field is left as it is. */
public data class DesiredState(
    val modelVersions: Set<ModelVersion>? = null,
    val adapters: Set<AdapterName>? = null,
    val role: EngineRole? = null,
)

/** The state that an engine reports, with a lag. */
public data class EngineState(
    val modelVersions: Set<ModelVersion>,
    val adapters: Set<AdapterName>,
    val role: EngineRole?,
) {
    /** Whether every field given in [desired] has its value. */
    public fun satisfies(desired: DesiredState): Boolean =
        (desired.modelVersions == null || desired.modelVersions == modelVersions) &&
            (desired.adapters == null || desired.adapters == adapters) &&
            (desired.role == null || desired.role == role)
}

/** Answer of an engine to an order. */
public enum class OrderAnswer {
    ACCEPTED,

    /** The engine has seen a newer fencing token. */
    STALE_TOKEN,

    /** The engine refused the order for another reason. */
    REFUSED,

    /** No answer arrived; the order may have taken effect. */
    UNKNOWN,
}

/** Sends orders to engines and reads what they report. */
public interface EngineClient {
    /** Orders the engine at [engine] to reach [desired]; ends at [deadline] at the latest. */
    public suspend fun order(
        engine: NetworkAddress,
        desired: DesiredState,
        fencingToken: Long,
        deadline: Timestamp,
    ): OrderAnswer

    /** The reported state, or null when the engine gives no usable answer before [deadline]. */
    public suspend fun state(engine: NetworkAddress, deadline: Timestamp): EngineState?
}
