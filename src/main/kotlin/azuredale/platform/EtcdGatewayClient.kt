package azuredale.platform

import azuredale.identity.NetworkAddress
import azuredale.store.CallBudget
import azuredale.store.CallFailure
import azuredale.store.CallFailureReason
import azuredale.store.KeyValueService
import azuredale.store.KeyVersion
import azuredale.store.LeaseId
import azuredale.store.LeaseResult
import azuredale.store.ReadResult
import azuredale.store.StoredValue
import azuredale.store.VersionResult
import azuredale.store.WatchEvent
import azuredale.store.WriteResult
import azuredale.time.Clock
import azuredale.time.Timestamp
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.PoolOptions
import io.vertx.core.json.JsonObject
import io.vertx.ext.web.client.WebClient
import kotlinx.coroutines.flow.Flow

/**
 * [KeyValueService] over the etcd version 3 JSON gateway.
 *
 * A call goes to the address that answered last; the next address is tried only while nothing was sent, or for reads.
 *
 * ```
 * val service = EtcdGatewayClient(vertx, settings.platform, CallBudget(20.0, 40, clock), clock)
 * ```
 */
public class EtcdGatewayClient(
    vertx: Vertx,
    addresses: List<NetworkAddress>,
    private val budget: CallBudget,
    private val clock: Clock,
) : KeyValueService,
    AutoCloseable {
    private val client =
        vertx.createHttpClient(
            HttpClientOptions().setConnectTimeout(CONNECT_MILLISECONDS),
            PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS).setMaxWaitQueueSize(MAXIMUM_WAITING_CALLS),
        )
    private val gateway = EtcdGateway(WebClient.wrap(client), addresses, budget, clock)
    private val watcher = EtcdWatch(client, gateway, budget)

    override suspend fun read(key: String, deadline: Timestamp): ReadResult =
        when (val answer = range(key, isVersionOnly = false, deadline)) {
            is GatewayAnswer.Failed -> ReadResult.Failed(answer.failure)
            is GatewayAnswer.Answered -> answer.value?.let { ReadResult.Found(it) } ?: ReadResult.Missing
        }

    override suspend fun readVersion(key: String, deadline: Timestamp): VersionResult =
        when (val answer = range(key, isVersionOnly = true, deadline)) {
            is GatewayAnswer.Failed -> VersionResult.Failed(answer.failure)
            is GatewayAnswer.Answered -> VersionResult.Found(answer.value?.version ?: KeyVersion.ABSENT)
        }

    override suspend fun list(prefix: String, deadline: Timestamp): azuredale.store.ListResult =
        azuredale.store.ListResult.Failed(CallFailure(CallFailureReason.REFUSED, "not offered"))

    override suspend fun write(
        key: String,
        value: ByteArray,
        expected: KeyVersion,
        deadline: Timestamp,
        lease: LeaseId?,
    ): WriteResult {
        val body = EtcdMessages.transaction(key, value, expected, lease)
        val answer = gateway.call("/v3/kv/txn", body, deadline, isRepeatable = false, EtcdMessages::written)
        return when (answer) {
            is GatewayAnswer.Answered -> answer.value
            is GatewayAnswer.Failed ->
                if (answer.failure.reason.isWithoutEffect) {
                    WriteResult.NotWritten(answer.failure)
                } else {
                    WriteResult.Unknown(answer.failure)
                }
        }
    }

    override suspend fun grantLease(seconds: Long, deadline: Timestamp): LeaseResult =
        leaseCall("/v3/lease/grant", EtcdMessages.grant(seconds), deadline) { it }

    override suspend fun keepAlive(lease: LeaseId, deadline: Timestamp): LeaseResult =
        leaseCall("/v3/lease/keepalive", EtcdMessages.lease(lease), deadline) { it.getJsonObject("result") }

    override suspend fun revoke(lease: LeaseId, deadline: Timestamp): LeaseResult {
        val answer = gateway.call("/v3/lease/revoke", EtcdMessages.lease(lease), deadline, isRepeatable = true) { }
        return when (answer) {
            is GatewayAnswer.Answered -> LeaseResult.Ended
            is GatewayAnswer.Failed -> failedLease(answer.failure)
        }
    }

    override fun watch(key: String): Flow<WatchEvent> = watcher.watch(key)

    override fun close() {
        client.close()
    }

    private suspend fun range(key: String, isVersionOnly: Boolean, deadline: Timestamp): GatewayAnswer<StoredValue?> {
        val body = EtcdMessages.range(key, isVersionOnly)
        return gateway.call("/v3/kv/range", body, deadline, isRepeatable = true, EtcdMessages::pair)
    }

    private suspend fun leaseCall(
        path: String,
        body: JsonObject,
        deadline: Timestamp,
        unwrap: (JsonObject) -> JsonObject,
    ): LeaseResult {
        val start = clock()
        val answer =
            gateway.call(path, body, deadline, isRepeatable = path != "/v3/lease/grant") {
                val lease = unwrap(it)
                LeaseId(EtcdMessages.long(lease, "ID")) to EtcdMessages.long(lease, "TTL")
            }
        return when (answer) {
            is GatewayAnswer.Failed -> failedLease(answer.failure)
            is GatewayAnswer.Answered -> {
                val (lease, seconds) = answer.value
                // The gateway answers a keep-alive of an ended lease with a length of zero.
                if (seconds > 0) LeaseResult.Held(lease, start.plusSeconds(seconds)) else LeaseResult.Ended
            }
        }
    }

    private fun failedLease(failure: CallFailure): LeaseResult =
        if (failure.reason == CallFailureReason.LEASE_ENDED) LeaseResult.Ended else LeaseResult.Failed(failure)

    private companion object {
        /** Well below the 2 s of freshness, so that another address is tried in time. */
        const val CONNECT_MILLISECONDS = 400
        const val MAXIMUM_CONNECTIONS = 8
        const val MAXIMUM_WAITING_CALLS = 64
    }
}
