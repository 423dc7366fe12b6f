package azuredale.peers

import azuredale.directory.ServerDirectory
import azuredale.identity.NetworkAddress
import azuredale.resumption.MixedPool
import azuredale.store.StoreEra
import azuredale.time.Timestamp

/** Functions through which [PeerExchange] interacts with the rest of the gateway. */
internal class PeerCallbacks(
    /** Sends a datagram. */
    val send: (NetworkAddress, ByteArray) -> Unit,
    /** Called when a router is discovered, or when its reports stop or resume. */
    val onPeerChanged: (Peer) -> Unit,
    /** Called when another router reports a newer catalog or a different server directory. */
    val onOutdated: (isCatalogOld: Boolean, isDirectoryOld: Boolean) -> Unit,
    /** Called with a directory that results from another router's changes, and a time at which it was the newest. */
    val onDirectoryLearned: (ServerDirectory, Timestamp) -> Unit,
    /** Called with the source address and the bytes of an invalid datagram. */
    val onRefused: (NetworkAddress, ByteArray) -> Unit,
    /** Called with the era of the store that another router names. */
    val onEra: (StoreEra, Timestamp) -> Unit = { _, _ -> },
    /** Returns the pools whose servers have had several software versions lately. */
    val mixedPools: () -> List<MixedPool> = { emptyList() },
    /** Called with such pools as another router knows them. */
    val onMixedPools: (List<MixedPool>, Timestamp) -> Unit = { _, _ -> },
)
