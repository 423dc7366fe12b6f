package azuredale.sharing

import azuredale.identity.Incarnation
import azuredale.identity.RouterId
import azuredale.protocol.ShardId
import azuredale.time.Timestamp

/**
 * This router's registration state with the allotter of one shard.
 *
 * A router that is not registered prompts the allotter with an empty demand message; the allotter answers with a
 * registration request.
 */
internal class ShardLink(
    val shard: ShardId,
    createdAt: Timestamp,
) {
    /** The allotter currently used. */
    var target: RouterId? = null
        private set

    var targetIncarnation: Incarnation? = null
        private set

    /** Whether the allotter is believed to hold this router's registration. */
    var isRegistered: Boolean = false
        private set

    /** Time of the first unanswered prompt to any allotter; null while registered. */
    var withoutAllotterSince: Timestamp? = null
        private set

    /** Time of the first unanswered prompt to [target]; null when there is none. */
    var promptedAt: Timestamp? = null
        private set

    /** Time of the next prompt to [target]. */
    var nextPromptAt: Timestamp = createdAt

    /** Time of the next attempt to reach a preferred allotter that was unreachable. */
    var nextPreferredAttemptAt: Timestamp = createdAt

    /** Time of the next progress report. */
    var nextProgressAt: Timestamp = createdAt

    fun choose(router: RouterId?, incarnation: Incarnation?, now: Timestamp) {
        if (router == target && incarnation == targetIncarnation) return
        target = router
        targetIncarnation = incarnation
        isRegistered = false
        promptedAt = null
        nextPromptAt = now
    }

    fun register() {
        isRegistered = true
        withoutAllotterSince = null
        promptedAt = null
    }

    fun unregister() {
        isRegistered = false
    }

    fun recordPrompt(now: Timestamp) {
        if (withoutAllotterSince == null) withoutAllotterSince = now
        if (promptedAt == null) promptedAt = now
    }
}
