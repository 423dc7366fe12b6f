package azuredale.platform

import azuredale.catalog.BackendPool
import azuredale.catalog.CallerLimits
import azuredale.catalog.Catalog
import azuredale.catalog.CatalogMark
import azuredale.catalog.CatalogTeam
import azuredale.catalog.EngineProfile
import azuredale.catalog.Route
import azuredale.catalog.RouteKind
import azuredale.catalog.WeightedPool
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.TeamId
import azuredale.store.StorePoint
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The operators' configuration in the format of the platform's store. */
@Serializable
internal class CatalogMessage(
    private val version: Long = 0,
    private val routes: List<RouteMessage> = emptyList(),
    private val services: List<PoolMessage> = emptyList(),
    private val limits: LimitsMessage = LimitsMessage(),
    private val tenants: List<TeamMessage> = emptyList(),
) {
    fun toCatalog(point: StorePoint): Catalog = Catalog(
        mark = CatalogMark(point, version),
        routes = routes.map { it.toRoute() },
        pools = services.map { it.toPool() },
        teams = tenants.map { it.toTeam() },
        limits = limits.toLimits(),
    )
}

/** One route, with the fields of the platform's message. */
@Serializable
@Suppress("LongParameterList")
internal class RouteMessage(
    private val name: String,
    private val host: String,
    @SerialName("path-prefix") private val pathPrefix: String,
    private val kind: RouteKindMessage,
    private val service: String? = null,
    @SerialName("weighted-backends") private val split: List<WeightedPoolMessage> = emptyList(),
    @SerialName("timeout-ms") private val timeoutMilliseconds: Double,
    @SerialName("target-latency-ms") private val targetMilliseconds: Double,
    @SerialName("gap-aim-ms") private val pauseTargetMilliseconds: Double? = null,
    @SerialName("max-attempts") private val maximumServers: Int = 1,
    private val priority: Int = 0,
    @SerialName("allow-anonymous") private val isOpen: Boolean = false,
    // Despite its name, the flag binds no sessions to a server; it says that requests carry the parts of their prompt.
    @SerialName("sticky-sessions") private val isAffine: Boolean = false,
    @SerialName("stream-resume") private val isResumable: Boolean = false,
    @SerialName("allowed-regions") private val homes: List<String> = emptyList(),
) {
    fun toRoute(): Route = Route(
        name = name,
        host = host,
        pathPrefix = pathPrefix,
        kind = kind.kind,
        pools = split.map { it.toPool() }.ifEmpty { listOfNotNull(service).map { WeightedPool(PoolId(it), 1.0) } },
        timeoutMilliseconds = timeoutMilliseconds.toLong(),
        targetMilliseconds = targetMilliseconds.toLong(),
        pauseTargetMilliseconds = pauseTargetMilliseconds?.toLong(),
        maximumServers = maximumServers,
        priority = priority,
        allowsAnonymous = isOpen,
        hasPromptAffinity = isAffine,
        isResumable = isResumable,
        homes = homes.mapTo(LinkedHashSet(), ::Region),
    )
}

@Serializable
internal enum class RouteKindMessage(val kind: RouteKind) {
    @SerialName("idempotent")
    IDEMPOTENT(RouteKind.IDEMPOTENT),

    @SerialName("non_idempotent")
    NON_IDEMPOTENT(RouteKind.NON_IDEMPOTENT),

    @SerialName("streaming")
    STREAMING(RouteKind.STREAMING),
}

@Serializable
internal class WeightedPoolMessage(
    private val service: String,
    private val weight: Double,
) {
    fun toPool(): WeightedPool = WeightedPool(PoolId(service), weight)
}

@Serializable
internal class PoolMessage(
    private val name: String,
    @SerialName("health-path") private val healthPath: String = "/health",
    @SerialName("max-connections") private val maximumConnections: Int = Int.MAX_VALUE,
    private val engine: EngineMessage? = null,
    @SerialName("cold-per-s") private val coldRequestsPerSecond: Double? = null,
    @SerialName("warmup-s") private val warmUpSeconds: Double = 0.0,
) {
    fun toPool(): BackendPool = BackendPool(
        id = PoolId(name),
        healthPath = healthPath,
        maximumConnections = maximumConnections,
        engine = engine?.toProfile(),
        coldRequestsPerSecond = coldRequestsPerSecond?.takeIf { it > 0 && warmUpSeconds > 0 },
        warmUpMilliseconds = (warmUpSeconds * MILLISECONDS_PER_SECOND).toLong(),
    )

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000
    }
}

@Serializable
internal class EngineMessage(
    private val slots: Int,
    @SerialName("kv-capacity-tokens") private val cacheTokens: Double,
    // Number of tokens in one stream event, not a distance between events.
    private val stride: Int = 1,
) {
    fun toProfile(): EngineProfile = EngineProfile(slots, cacheTokens.toLong(), stride)
}

@Serializable
internal class LimitsMessage(
    @SerialName("max-header-bytes") private val maximumHeaderBytes: Int? = null,
    @SerialName("max-body-bytes") private val maximumBodyBytes: Int? = null,
    @SerialName("header-timeout-ms") private val headerTimeoutMilliseconds: Double? = null,
    @SerialName("idle-timeout-ms") private val idleTimeoutMilliseconds: Double? = null,
    @SerialName("tokens-per-s") private val tokensPerSecond: Double? = null,
) {
    fun toLimits(): CallerLimits {
        val default = CallerLimits()
        return CallerLimits(
            maximumHeaderBytes = maximumHeaderBytes ?: default.maximumHeaderBytes,
            maximumBodyBytes = maximumBodyBytes ?: default.maximumBodyBytes,
            headerTimeoutMilliseconds = headerTimeoutMilliseconds?.toLong() ?: default.headerTimeoutMilliseconds,
            idleTimeoutMilliseconds = idleTimeoutMilliseconds?.toLong() ?: default.idleTimeoutMilliseconds,
            tokensPerSecond = tokensPerSecond,
        )
    }
}

@Serializable
internal class TeamMessage(
    private val name: String,
    @SerialName("api-keys") private val keys: List<String> = emptyList(),
    private val priority: Int? = null,
    @SerialName("allowed-regions") private val homes: List<String> = emptyList(),
) {
    fun toTeam(): CatalogTeam =
        CatalogTeam(TeamId(name), keys.toSet(), priority, homes.mapTo(LinkedHashSet(), ::Region))
}
