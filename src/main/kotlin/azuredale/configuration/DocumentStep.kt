package azuredale.configuration

import azuredale.identity.FailureDomain
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.logging.EventLog
import azuredale.membership.Member
import azuredale.membership.MemberState
import azuredale.node.NodeEffect
import azuredale.protocol.Confirmation
import azuredale.protocol.DocumentAnnounce
import azuredale.protocol.DocumentBody
import azuredale.protocol.DocumentRequest
import azuredale.protocol.PeerMessage
import azuredale.time.Timestamp

/** Handles one event of [DocumentController]. Collects the new rows of its tables and the effects to execute. */
internal class DocumentStep(
    private val self: RouterId,
    held: HeldDocument?,
    state: DocumentState,
    private val now: Timestamp,
    private val minimumFleetSize: Int,
) {
    var held: HeldDocument? = held
        private set
    var state: DocumentState = state
        private set
    val effects = mutableListOf<NodeEffect>()

    private val revision: Revision get() = held?.revision ?: Revision.NONE

    fun run(action: DocumentStep.() -> Unit) {
        val observed = state.freshness.afterEvent(now)
        if (observed.trustedFrom != state.freshness.trustedFrom) {
            log.write(ConfigurationLogEvent.PROCESS_PAUSED)
            // Replies to a round that started before the pause may be outdated.
            state = state.copy(poll = MajorityPoll(requestedUntil = state.poll.requestedUntil))
        }
        state = state.copy(freshness = observed)
        action()
        requestDocument()
        readService()
        pollFleet()
        requestConfirmation()
        logFreshnessChange()
    }

    fun documentRead(document: AcceptedDocument?) {
        state = state.copy(schedule = state.schedule.answered(now))
        when {
            document == null -> if (held != null) log.write(ConfigurationLogEvent.DOCUMENT_MISSING, "held" to revision)
            else -> {
                if (document.revision < revision) {
                    log.write(ConfigurationLogEvent.DOCUMENT_OLDER, "held" to revision, "read" to document.revision)
                }
                adopt(document, isFromService = true)
                confirmed(ConfirmedRevision(document.revision, now))
            }
        }
    }

    fun revisionConfirmed(revision: Revision) {
        state = state.copy(schedule = state.schedule.answered(now))
        confirmed(ConfirmedRevision(revision, now))
    }

    fun readFailed() {
        state = state.copy(schedule = state.schedule.failed(now, usesBackoff = state.freshness.isFresh(now)))
    }

    /** Applies [confirmation]. The sender computed its age at [statedAt] or later. */
    fun confirmationReceived(confirmation: Confirmation, statedAt: Timestamp = now) {
        if (confirmation.revision == Revision.NONE) return
        val age = confirmation.ageMilliseconds.coerceIn(0, MAXIMUM_AGE_MILLISECONDS)
        confirmed(ConfirmedRevision(confirmation.revision, statedAt.plusMilliseconds(-age)))
    }

    fun recordHolder(router: RouterId, revision: Revision) {
        if (revision > this.revision) state = state.copy(fetch = state.fetch.withHolder(router, revision))
    }

    fun announcementReceived(from: RouterId, message: DocumentAnnounce) {
        recordHolder(from, message.revision)
        if (message.revision < revision) send(from, DocumentAnnounce(revision))
        val sentAt = message.requestSentAt?.let(::Timestamp) ?: return
        message.confirmation?.let { confirmationReceived(it, sentAt) }
        if (sentAt == state.poll.startedAt) recordPollReply(from)
    }

    fun requestReceived(from: RouterId, message: DocumentRequest) {
        val document = held
        if (document != null && document.revision > message.knownRevision) {
            send(from, DocumentBody(document.revision, document.body))
        } else {
            send(from, DocumentAnnounce(revision, message.sentAt, state.confirmation(now)))
        }
    }

    /** Handles the [document] sent by a peer, which is null if the body is malformed. */
    fun bodyReceived(from: RouterId, document: AcceptedDocument?) {
        if (document == null) {
            log.write(ConfigurationLogEvent.DOCUMENT_MALFORMED, "from" to from)
            state = state.copy(fetch = state.fetch.replyRejected(from))
        } else {
            adopt(document, isFromService = false)
        }
    }

    fun membersChanged(members: List<Member>, failureDomain: FailureDomain) {
        val serving = members.filter { it.state == MemberState.ALIVE && !it.isDraining }
        val pollers =
            serving
                .groupBy({ it.failureDomain }, { it.router })
                .flatMap { (domain, routers) -> RendezvousHash.choose(routers, "watch/$domain", POLLERS_PER_DOMAIN) }
        val fleet = state.fleet.copy(pollers = pollers.toSet() - self)
        state = state.copy(fleet = fleet.withMembers(members, self, now))
        val neighbours = serving.filter { it.failureDomain == failureDomain }.map { it.router }.toSet() + self
        val watchers = RendezvousHash.choose(neighbours, "watch/$failureDomain", WATCHERS_PER_DOMAIN)
        val isWatching = self in watchers
        state = state.copy(isPolling = self in watchers.take(POLLERS_PER_DOMAIN))
        if (isWatching != state.isWatching) {
            state = state.copy(isWatching = isWatching)
            log.write(ConfigurationLogEvent.WATCHER_CHANGED, "watching" to isWatching)
            effects += NodeEffect.WatchDocument(isWatching)
        }
    }

    private fun confirmed(confirmation: ConfirmedRevision) {
        state = state.copy(freshness = state.freshness.confirmed(confirmation, revision, now))
    }

    private fun adopt(document: AcceptedDocument, isFromService: Boolean) {
        val present = held
        if (present != null && present.revision >= document.revision) {
            if (present.revision == document.revision && present.accepted.text != document.text) {
                log.write(ConfigurationLogEvent.DOCUMENT_CONFLICT, "revision" to document.revision)
            }
            return
        }
        val adopted = HeldDocument(document)
        held = adopted
        state =
            state.copy(
                freshness = state.freshness.adopted(document.revision),
                fetch = state.fetch.adopted(document.revision),
            )
        log.write(ConfigurationLogEvent.DOCUMENT_ADOPTED, "revision" to revision, "service" to isFromService)
        propagate(adopted, isFromService)
    }

    /**
     * Announces the document to a few peers, which do the same in turn. Other nodes learn the revision from datagrams.
     *
     * A document from the service is pushed in full to the first few peers, so that it is still available if this
     * node fails.
     */
    private fun propagate(document: HeldDocument, isFromService: Boolean) {
        val peers = RendezvousHash.choose(state.fleet.alive, "$self/${document.revision}", PROPAGATION_PEERS)
        val bodies = if (isFromService) PUSH_PEERS else 0
        peers.take(bodies).forEach { send(it, DocumentBody(document.revision, document.body)) }
        peers.drop(bodies).forEach { send(it, DocumentAnnounce(document.revision)) }
    }

    private fun requestDocument() {
        val peer = state.fetch.nextPeer(now) ?: return
        state = state.copy(fetch = state.fetch.requestSent(peer, now))
        send(peer, DocumentRequest(revision))
    }

    private fun readService() {
        if (state.schedule.isTimedOut(now)) readFailed()
        val isWanted = held == null || state.isWatching || state.freshness.isServiceReadNeeded(now)
        if (isWanted && state.schedule.isDue(now)) {
            state = state.copy(schedule = state.schedule.started(now))
            effects += NodeEffect.ReadDocument
        }
    }

    /**
     * Starts a poll round if the service does not respond, a caller asked for a majority, or members can be removed.
     * Does not start one while receive buffers may still contain replies from before a process pause.
     */
    private fun pollFleet() {
        val poll = state.poll
        val isWanted =
            now <= poll.requestedUntil ||
                (state.isPolling && held != null && state.schedule.isServiceUnresponsive(now)) ||
                state.fleet.hasExpiredMembers(now)
        if (!isWanted || !poll.isDue(now) || now < state.freshness.trustedFrom) return
        state = state.copy(poll = poll.started(now))
        state.fleet.reachable.forEach { send(it, DocumentRequest(revision, now.microseconds)) }
        evaluatePoll()
    }

    /** Asks two members that read the service or poll the fleet if no recent confirmation arrived by datagram. */
    private fun requestConfirmation() {
        if (held == null || !state.freshness.isPeerRequestNeeded(now) || now < state.nextConfirmationRequestAt) return
        state = state.copy(nextConfirmationRequestAt = now.plusMicroseconds(CONFIRMATION_REQUEST_MICROSECONDS))
        val seed = "$self/${now.microseconds / CONFIRMATION_REQUEST_MICROSECONDS}"
        RendezvousHash.choose(state.fleet.pollers, seed, CONFIRMATION_REQUEST_PEERS).forEach {
            send(it, DocumentRequest(revision, now.microseconds))
        }
    }

    private fun recordPollReply(from: RouterId) {
        if (from !in state.fleet.known) return
        state = state.copy(poll = state.poll.replyReceived(from))
        evaluatePoll()
    }

    /**
     * Treats replies from a majority as a confirmation while the service does not respond.
     *
     * This is safe because a node accepts a submission only after polling a majority. Any two majorities have a node
     * in common, which would have replied with the newer revision.
     */
    private fun evaluatePoll() {
        val poll = state.poll
        if (poll.isComplete || !state.fleet.isMajority(poll.answered.size + 1, minimumFleetSize, now)) return
        state = state.copy(poll = poll.completed(), fleet = state.fleet.withoutExpiredMembers(now))
        val newestKnown = maxOf(state.fetch.highest, state.freshness.newest?.revision ?: Revision.NONE)
        if (held != null && newestKnown <= revision && state.schedule.isServiceUnresponsive(now)) {
            confirmed(ConfirmedRevision(revision, poll.startedAt))
        }
    }

    private fun logFreshnessChange() {
        val mayGiveOutWork = held != null && state.freshness.isFresh(now)
        if (mayGiveOutWork == state.mayGiveOutWork) return
        state = state.copy(mayGiveOutWork = mayGiveOutWork)
        val event =
            if (mayGiveOutWork) ConfigurationLogEvent.DOCUMENT_CONFIRMED else ConfigurationLogEvent.DOCUMENT_EXPIRED
        log.write(event, "revision" to revision)
    }

    private fun send(to: RouterId, message: PeerMessage) {
        effects += NodeEffect.SendMessage(to, message)
    }

    private companion object {
        val log = EventLog("azuredale.configuration")

        /** Tolerates one failed and one paused watcher. */
        const val WATCHERS_PER_DOMAIN = 3

        /** Each of them polls every member twice per second during an outage of the service. */
        const val POLLERS_PER_DOMAIN = 2

        /** Reaches a fleet of 390 routers in three rounds. */
        const val PROPAGATION_PEERS = 8
        const val PUSH_PEERS = 4

        const val CONFIRMATION_REQUEST_MICROSECONDS = 200_000L
        const val CONFIRMATION_REQUEST_PEERS = 2

        /** Upper limit for an age stated by a peer, much longer than the time for which a confirmation is valid. */
        const val MAXIMUM_AGE_MILLISECONDS = 3_600_000L
    }
}
