package azuredale.sharing

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.protocol.ShardId
import azuredale.time.Timestamp

/** This router's relation to the allotter of one shard. */
internal class ShardLink(
    val shard: ShardId,
    createdAt: Timestamp,
) {
    /** The allotter in use. */
    var target: RouterId? = null
        private set

    var targetIncarnation: Incarnation? = null
        private set

    /** Whether the allotter holds this router's registration, as far as known. */
    var isRegistered: Boolean = false
        private set

    /** Time of the first unanswered message that asked any allotter for a request for registration. */
    var unservedSince: Timestamp? = null
        private set

    /** The same for the allotter in use. */
    var greetedAt: Timestamp? = null
        private set

    /** The allotter is asked for a request for registration at this time. */
    var helloAt: Timestamp = createdAt

    /** A preferred allotter that was unreachable is tried at this time. */
    var preferredAt: Timestamp = createdAt

    var progressAt: Timestamp = createdAt

    fun choose(router: RouterId?, incarnation: Incarnation?, now: Timestamp) {
        if (router == target && incarnation == targetIncarnation) return
        target = router
        targetIncarnation = incarnation
        isRegistered = false
        greetedAt = null
        helloAt = now
    }

    fun register() {
        isRegistered = true
        unservedSince = null
        greetedAt = null
    }

    fun unregister() {
        isRegistered = false
    }

    fun greeted(now: Timestamp) {
        if (unservedSince == null) unservedSince = now
        if (greetedAt == null) greetedAt = now
    }
}
