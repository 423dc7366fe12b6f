package azuredale.sharing

import azuredale.configuration.BackendServer
import azuredale.configuration.Document
import azuredale.configuration.Pool
import azuredale.configuration.PoolKind
import azuredale.configuration.Team
import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.ModelVersion
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.Region
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.identity.TeamId
import azuredale.membership.Member
import azuredale.membership.MemberState

internal val testPool = PoolId("model")
internal val testRegion = Region("south")
internal val testDomain = FailureDomain("a")
private val testAddress = NetworkAddress("127.0.0.1", 1)

internal fun testServer(name: String, slots: Int, models: Set<ModelVersion> = emptySet()): BackendServer =
    BackendServer(ServerId(name), testPool, testAddress, testDomain, slots, modelVersions = models)

internal fun testDocument(shares: Map<String, Double>, servers: List<BackendServer>, shards: Int = 1): Document =
    Document(
        failureDomains = mapOf(testDomain to testRegion),
        teams = shares.map { (name, share) -> Team(TeamId(name), share, setOf(testPool)) }.associateBy { it.id },
        pools = mapOf(testPool to Pool(testPool, PoolKind.MODEL, shards, initialCost = 10.0)),
        servers = servers.associateBy { it.id },
    )

internal fun testMember(router: RouterId, incarnation: Long = 1): Member = Incarnation(incarnation).let { started ->
    Member(router, started, MemberState.ALIVE, testRegion, testDomain, testAddress, testAddress, testAddress)
}
