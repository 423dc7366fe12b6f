package azuredale.identity

import kotlinx.serialization.Serializable

/** Name of a team (a customer), as given in the configuration document. */
@JvmInline
@Serializable
public value class TeamId(public val name: String) {
    override fun toString(): String = name
}

/** Name of a pool of backend servers. */
@JvmInline
@Serializable
public value class PoolId(public val name: String) {
    override fun toString(): String = name
}

/** Name of a backend server (a model engine or a plain service). */
@JvmInline
@Serializable
public value class ServerId(public val name: String) {
    override fun toString(): String = name
}

/** Identifies a part of a prompt; requests that share the part name it by the same id. */
@JvmInline
@Serializable
public value class PartId(public val name: String) {
    override fun toString(): String = name
}

/** Name of a batch of servers, model versions or adapters that can be recalled together. */
@JvmInline
@Serializable
public value class BatchId(public val name: String) {
    override fun toString(): String = name
}

/** A model with its version, written `name@version`. */
@JvmInline
@Serializable
public value class ModelVersion(public val name: String) {
    /** Name of the model without the version. */
    public val model: String get() = name.substringBefore('@')

    override fun toString(): String = name
}

/** Name of an adapter that can be applied to a model. */
@JvmInline
@Serializable
public value class AdapterName(public val name: String) {
    override fun toString(): String = name
}

/** Name of a router; unique in the fleet and stable across restarts of its VM. */
@JvmInline
@Serializable
public value class RouterId(public val name: String) {
    override fun toString(): String = name
}

/** Name of a failure domain, a group of machines that can fail together. */
@JvmInline
@Serializable
public value class FailureDomain(public val name: String) {
    override fun toString(): String = name
}

/** Name of a region, which consists of several failure domains. */
@JvmInline
@Serializable
public value class Region(public val name: String) {
    override fun toString(): String = name
}

/** Start time of a router process in microseconds since the Unix epoch; it increases with every restart. */
@JvmInline
@Serializable
public value class Incarnation(public val value: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Revision of an accepted configuration document; a higher value is newer, zero means none. */
@JvmInline
@Serializable
public value class Revision(public val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** No document has been accepted yet. */
        public val NONE: Revision = Revision(0)
    }
}

/** Number assigned to a request by the router that received it; unique within one [Incarnation]. */
@JvmInline
@Serializable
public value class RequestNumber(public val value: Long) : Comparable<RequestNumber> {
    override fun compareTo(other: RequestNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Number of an attempt to run a request, starting at 1. */
@JvmInline
@Serializable
public value class AttemptNumber(public val value: Int) : Comparable<AttemptNumber> {
    /** Number of the next attempt. */
    public fun next(): AttemptNumber = AttemptNumber(value + 1)

    override fun compareTo(other: AttemptNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Version of a backend server's software, as the server registers it; not that of a model's weights. */
@JvmInline
@Serializable
public value class SoftwareVersion(public val name: String) {
    override fun toString(): String = name
}
