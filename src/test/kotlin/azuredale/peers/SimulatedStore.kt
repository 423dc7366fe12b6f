package azuredale.peers

import azuredale.catalog.CallerLimits
import azuredale.catalog.Catalog
import azuredale.catalog.CatalogMark
import azuredale.directory.BackendEntry
import azuredale.directory.ServerDirectory
import azuredale.freshness.CatalogRead
import azuredale.freshness.DirectoryRead
import azuredale.freshness.FirstReadDelay
import azuredale.freshness.OperatorRead
import azuredale.freshness.StoreReader
import azuredale.gateway.StorePoller
import azuredale.identity.PartId
import azuredale.identity.ServerId
import azuredale.logging.EventLog
import azuredale.quarantine.QuarantineCallResult
import azuredale.quarantine.QuarantineKeeper
import azuredale.quarantine.QuarantineStore
import azuredale.quarantine.QuarantineTable
import azuredale.sharing.StableHash
import azuredale.store.CallFailure
import azuredale.store.CallFailureReason
import azuredale.store.StoreEra
import azuredale.store.StorePoint
import azuredale.time.Timestamp
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlin.coroutines.resume
import kotlin.coroutines.suspendCoroutine

/** The store as the pollers of a [SimulatedExchange] see it; counts the calls by what they are made for. */
internal class SimulatedStore(private val fleet: SimulatedExchange) {
    enum class Call { REGISTRATION, CATALOG, DIRECTORY, QUARANTINE }

    val calls = HashMap<Call, Int>()

    /** Routers that the store does not answer. */
    val silentTo = HashSet<SimulatedExchange.Node>()
    private val started = LinkedHashSet<SimulatedExchange.Node>()
    private val answers = ArrayList<Pair<Timestamp, () -> Unit>>()
    private val scope = CoroutineScope(Dispatchers.Unconfined)
    private val entries = LinkedHashMap<ServerId, BackendEntry>()
    private var revision = 1L
    private var catalogRevision = 0L
    private val members = fleet.nodes.associateWith { Member(it) }

    init {
        fleet.cut += fleet.nodes
    }

    /** Starts [node], which registers itself and then learns the routers that have registered before. */
    fun start(node: SimulatedExchange.Node) {
        fleet.cut -= node
        started += node
        members.getValue(node).firstReads = FirstReadDelay(fleet.now, StableHash.of(node.router.name))
        val known = started.toList()
        repeat(REGISTRATION_CALLS) { count(Call.REGISTRATION) }
        answers += fleet.now.plusMilliseconds(REGISTRATION_MILLISECONDS) to {
            known.forEach { node.exchange.routerDiscovered(it.router, it.address, fleet.now) }
            members.getValue(node).firstReads.recordListed(fleet.now)
        }
    }

    fun put(server: BackendEntry) {
        revision++
        entries[server.id] = server
    }

    fun remove(server: BackendEntry) {
        revision++
        entries -= server.id
    }

    fun writeCatalog() {
        catalogRevision = ++revision
    }

    fun run(milliseconds: Int) = repeat(milliseconds) {
        fleet.run(1)
        val due = answers.filter { it.first <= fleet.now }
        answers.removeAll(due)
        due.forEach { it.second() }
        started.forEachIndexed { index, node ->
            if ((fleet.now.microseconds / MICROSECONDS + index) % TICK_MILLISECONDS == 0L && node !in fleet.cut) {
                members.getValue(node).tick()
            }
        }
    }

    val directory get() = ServerDirectory(StorePoint(StoreEra.NONE, revision), entries.toMap())

    /** Routers whose directory differs from the store's. */
    fun outdated() = started.filter { it !in fleet.cut && it.view.directoryDigest != directory.digest }

    private val mark get() = CatalogMark(StorePoint(StoreEra.NONE, catalogRevision), catalogRevision)

    fun hasCatalog(node: SimulatedExchange.Node) = node.view.catalogMark == mark

    private fun count(call: Call) = calls.merge(call, 1, Int::plus)

    private suspend fun await(milliseconds: Long) = suspendCoroutine<Unit> { waiting ->
        answers += fleet.now.plusMilliseconds(milliseconds) to { waiting.resume(Unit) }
    }

    private inner class Member(private val node: SimulatedExchange.Node) :
        StoreReader,
        QuarantineStore {
        private val log = EventLog("simulated")
        lateinit var firstReads: FirstReadDelay
        private val poller =
            StorePoller(
                view = node.view,
                storeReader = this,
                clock = { fleet.now },
                rank = node.exchange::rank,
                changeDelayMilliseconds = node.exchange::changeDelayMilliseconds,
                isHeld = ::isHeld,
                log = log,
                onChange = { if (it) node.exchange.report(fleet.now) },
                onProof = { node.exchange.proofRenewed(fleet.now) },
            )
        private val keeper =
            QuarantineKeeper(
                quarantine = node.quarantine,
                store = this,
                clock = { fleet.now },
                scope = scope,
                rank = node.exchange::rank,
                isDivided = {
                    node.exchange.peers.all
                        .any { !it.isAlive }
                },
                log = log,
            )

        init {
            node.onOutdated = poller::markOutdated
            node.onDirectoryLearned = poller::directoryLearned
        }

        fun tick() {
            val now = fleet.now
            poller.tick(0, now)
            if (poller.isCatalogDue(now)) scope.launch(start = CoroutineStart.UNDISPATCHED) { poller.readCatalog() }
            if (poller.isDirectoryDue(now)) scope.launch(start = CoroutineStart.UNDISPATCHED) { poller.readDirectory() }
            if (!isHeld(now)) keeper.tick(now)
        }

        private fun isHeld(now: Timestamp) = firstReads.isHeld(now, node.exchange.isMesh)

        /** Returns whether the store answers. */
        private suspend fun call(call: Call): Boolean {
            count(call)
            val isSilent = node in silentTo
            await(if (isSilent) TIMEOUT_MILLISECONDS else ANSWER_MILLISECONDS)
            return !isSilent
        }

        private val silence = CallFailure(CallFailureReason.DEADLINE_PASSED, "silent")

        override suspend fun readCatalog(isKnown: (StorePoint) -> Boolean, deadline: Timestamp): OperatorRead {
            val isAnswered = call(Call.CATALOG)
            val read =
                when {
                    !isAnswered -> CatalogRead.Failed(silence)
                    catalogRevision == 0L -> CatalogRead.Missing()
                    isKnown(mark.point) -> CatalogRead.Unchanged(mark.point)
                    else ->
                        CatalogRead.Unknown(
                            Catalog(mark, emptyList(), emptyList(), emptyList(), CallerLimits()),
                        )
                }
            return OperatorRead(read)
        }

        override suspend fun readDirectory(deadline: Timestamp): DirectoryRead =
            if (call(Call.DIRECTORY)) DirectoryRead.Found(directory, emptyMap()) else DirectoryRead.Failed(silence)

        override suspend fun read(deadline: Timestamp): QuarantineTable? =
            QuarantineTable(StorePoint.NONE, emptyMap()).takeIf { call(Call.QUARANTINE) }

        override suspend fun add(part: PartId, deadline: Timestamp) = QuarantineCallResult.Conflict

        override suspend fun remove(part: PartId, deadline: Timestamp) = QuarantineCallResult.Conflict

        override suspend fun addTrial(part: PartId, trials: Int, deadline: Timestamp) = QuarantineCallResult.Conflict
    }

    private companion object {
        const val REGISTRATION_CALLS = 3
        const val REGISTRATION_MILLISECONDS = 30L
        const val ANSWER_MILLISECONDS = 6L
        const val TIMEOUT_MILLISECONDS = 900L
        const val TICK_MILLISECONDS = 20L
        const val MICROSECONDS = 1_000L
    }
}
