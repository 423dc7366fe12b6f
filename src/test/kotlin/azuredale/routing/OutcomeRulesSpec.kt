package azuredale.routing

import azuredale.configuration.Requirement
import azuredale.identity.AttemptNumber
import azuredale.identity.Incarnation
import azuredale.identity.RequestNumber
import azuredale.identity.RouterId
import azuredale.identity.ServerId
import azuredale.node.ClaimResult
import azuredale.node.NodeEffect
import azuredale.outcome.ErrorKind
import azuredale.outcome.Execution
import azuredale.outcome.Failure
import azuredale.outcome.Outcome
import azuredale.outcome.TicketController
import azuredale.outcome.TicketSigner
import azuredale.outcome.refused
import azuredale.time.Timestamp
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Sends random sequences of events, including late, repeated and unrelated ones, to a request controller and checks its
 * invariants. jqwik prints the seed of a failed run; reproduce it with `@Property(seed = "...")`.
 */
class OutcomeRulesSpec {
    enum class Kind {
        REQUEST,
        DISCONNECT,
        GRANT,
        REFUSE,
        PROGRESS,
        COMPLETE,
        CONNECT_FAILURE,
        BREAK,
        WRONG_ANSWER,
        CLAIM,
        CLAIM_FAILS,
        ADVANCE_CLOCK,
        DRAIN,
        REMOVE_SERVER,
        TOGGLE_FRESHNESS,
        TOGGLE_QUEUE_FULL,
        REPLAY_STALE_EVENT,
    }

    data class Step(
        val kind: Kind,
        val number: Int,
    )

    @Provide
    fun steps(): Arbitrary<List<Step>> {
        val kinds =
            Arbitraries.frequency(
                *Kind.entries
                    .map {
                        net.jqwik.api.Tuple
                            .of(if (it in rare) 1 else 6, it)
                    }.toTypedArray(),
            )
        val step =
            net.jqwik.api.Combinators
                .combine(kinds, Arbitraries.integers().between(0, 11))
                .`as`(::Step)
        return step.list().ofMinSize(10).ofMaxSize(120)
    }

    @Property(tries = 3_000, seed = "20261204")
    fun `preserves the invariants in every order of events`(
        @ForAll("steps") steps: List<Step>,
    ) {
        val run = Simulation()
        steps.forEach(run::apply)
        run.finishAll()
    }

    private class Attempt(
        val start: NodeEffect.StartAttempt,
        var isOver: Boolean = false,
    )

    /** A controller and a model of what its callers and backend servers observe. */
    private class Simulation {
        private var now = Timestamp(1_000_000)
        private var accepted = document(server("s1", HERD, 1), server("s2", HERD, 2))
        private var isFresh = true
        private var isFull = false
        private val tickets = TicketController(RouterId("r1"), Incarnation(1), TicketSigner(FLEET_KEY))
        private val identities =
            List(2) {
                RequestIdentity.Ticket(tickets.issue(RouterId("r1"), Incarnation(1), COUNTER, now))
            } + listOf(RequestIdentity.Key("k1"), RequestIdentity.Key("k2"))
        private val requests = HashMap<RequestNumber, CallerRequest>()
        private val results = HashMap<RequestNumber, RequestResult>()
        private val waiting = LinkedHashSet<RequestNumber>()
        private val heldSlots = HashSet<RequestNumber>()
        private val attempts = ArrayList<Attempt>()
        private val claims = ArrayList<RequestNumber>()

        /** Identities (for idempotent requests, their numbers) with an attempt that may have sent a byte. */
        private val written = HashSet<Any>()
        private val delivered = HashMap<RequestNumber, Long>()

        private val controller =
            RequestController(
                SlotOperations(
                    submit = { queued, _ ->
                        if (isFull) {
                            refused(ErrorKind.QUEUE_FULL)
                        } else {
                            assertTrue(waiting.add(queued.number), "slot number ${queued.number} is used twice")
                            Outcome.Success(emptyList())
                        }
                    },
                    withdraw = { slot, _ -> emptyList<NodeEffect>().also { waiting -= slot } },
                    progressed = { slot, _, _ -> emptyList<NodeEffect>().also { assertTrue(slot in heldSlots) } },
                    settled = { slot, _, _, _ ->
                        emptyList<NodeEffect>().also { assertTrue(heldSlots.remove(slot), "slot $slot settled twice") }
                    },
                ),
                { accepted },
                { isFresh },
                tickets,
                RequestSettings(maximumRequests = 6, retryBurst = 3.0),
            )

        fun apply(step: Step) {
            val number = step.number
            when (step.kind) {
                Kind.REQUEST -> sendRequest(number)
                Kind.DISCONNECT -> perform(controller.callerGone(anyRequest(number), now))
                Kind.GRANT -> waiting.elementAtOrNull(number % 3)?.let { grant(it, number) }
                Kind.REFUSE ->
                    waiting.elementAtOrNull(number % 3)?.let {
                        waiting -= it
                        perform(controller.slotRefused(it, Failure(ErrorKind.NO_ELIGIBLE_SERVER), now))
                    }
                Kind.PROGRESS ->
                    open(number)?.let {
                        perform(controller.attemptProgressed(it.start.request, it.start.attempt, 1.0, now))
                    }
                Kind.COMPLETE -> open(number)?.let { end(it, AttemptResult.Completed(3.0, answer(it))) }
                Kind.CONNECT_FAILURE -> open(number)?.let { end(it, AttemptResult.NotConnected("refused")) }
                Kind.BREAK -> open(number)?.let { end(it, AttemptResult.Broken(1.0, deliver(it, number % 2L), "cut")) }
                Kind.WRONG_ANSWER -> open(number)?.let { end(it, AttemptResult.WrongAnswer(0.0, "foreign")) }
                Kind.CLAIM -> claims.removeFirstOrNull()?.let { claimed(it, ClaimResult.CLAIMED) }
                Kind.CLAIM_FAILS -> claims.removeFirstOrNull()?.let { claimed(it, ClaimResult.entries[number % 5]) }
                Kind.ADVANCE_CLOCK -> advance(number * 40L)
                Kind.DRAIN -> perform(controller.drain(now))
                Kind.REMOVE_SERVER -> accepted = document(server("s1", HERD, 1))
                Kind.TOGGLE_FRESHNESS -> isFresh = !isFresh
                Kind.TOGGLE_QUEUE_FULL -> isFull = !isFull
                Kind.REPLAY_STALE_EVENT -> replay(number)
            }
        }

        /** Advances past every deadline and checks that each request has a result and each slot is free. */
        fun finishAll() {
            repeat(3) { advance(10_000) }
            assertTrue(controller.isIdle(), "requests still in progress after their deadline")
            assertEquals(requests.keys, results.keys, "requests without a result")
            assertEquals(emptySet(), heldSlots.toSet(), "granted slots that were not settled")
            assertEquals(emptySet(), waiting.toSet(), "queued slots that were not withdrawn")
        }

        private fun sendRequest(number: Int) {
            val identity = identities.getOrElse(number) { RequestIdentity.Idempotent }
            val id = RequestNumber(requests.size + 1L)
            val deadline = now.plusMilliseconds(1_000)
            val isResumable = number % 2 == 0
            requests[id] = CallerRequest(id, COUNTER, Requirement(HERD), deadline, identity, isResumable = isResumable)
            perform(controller.requestReceived(requests.getValue(id), now))
        }

        private fun grant(slot: RequestNumber, number: Int) {
            waiting -= slot
            heldSlots += slot
            perform(controller.slotGranted(slot, ServerId(if (number % 2 == 0) "s1" else "s2"), now))
        }

        private fun claimed(request: RequestNumber, result: ClaimResult) =
            perform(controller.keyClaimed(request, result, now))

        private fun end(attempt: Attempt, result: AttemptResult) {
            attempt.isOver = true
            if (result is AttemptResult.NotConnected) written.removeAll(unwritten(attempt))
            perform(controller.attemptEnded(attempt.start.request, attempt.start.attempt, result, now))
        }

        /** Sends events of an ended and of a nonexistent attempt. They must have no effect. */
        private fun replay(number: Int) {
            val stale = attempts.filter { it.isOver }.getOrNull(number) ?: return
            val before = controller.droppedEvents
            val result = AttemptResult.Completed(1.0)
            assertEquals(emptyList(), controller.attemptEnded(stale.start.request, stale.start.attempt, result, now))
            val future = AttemptNumber(stale.start.attempt.value + 50)
            assertEquals(emptyList(), controller.attemptEnded(stale.start.request, future, result, now))
            assertEquals(before + 2, controller.droppedEvents)
        }

        private fun advance(milliseconds: Long) {
            now = now.plusMilliseconds(milliseconds)
            perform(controller.tick(now))
        }

        private fun perform(effects: List<NodeEffect>) {
            for (effect in effects) {
                when (effect) {
                    is NodeEffect.StartAttempt -> started(effect)
                    is NodeEffect.CancelAttempt ->
                        attempts
                            .filter { it.start.request == effect.request && it.start.attempt == effect.attempt }
                            .forEach { it.isOver = true }
                    is NodeEffect.FinishRequest -> finished(effect)
                    is NodeEffect.ClaimKey -> claims += effect.request
                    else -> error("unexpected effect $effect")
                }
            }
        }

        private fun started(start: NodeEffect.StartAttempt) {
            val request = requests.getValue(start.request)
            assertTrue(isFresh, "an attempt starts while the document is not confirmed")
            assertTrue(accepted.document.allows(start.server, request.requirement), "${start.server} is excluded")
            assertTrue(now < request.deadline, "an attempt starts after the deadline")
            assertEquals(delivered[start.request] ?: 0L, start.resumeAt, "text is repeated or lost")
            assertTrue(start.resumeAt == 0L || request.isResumable)
            if (request.identity != RequestIdentity.Idempotent) {
                assertTrue(request.identity !in written, "${request.identity} runs a second time")
            }
            written += identityKey(request)
            attempts += Attempt(start)
        }

        private fun finished(effect: NodeEffect.FinishRequest) {
            assertEquals(null, results.put(effect.request, effect.result), "two results for ${effect.request}")
            val request = requests.getValue(effect.request)
            when (val result = effect.result) {
                RequestResult.Completed -> assertTrue(request.number in completed, "partial response called complete")
                is RequestResult.Duplicate -> {
                    val from =
                        requests.getValue(
                            RequestNumber(
                                result.response.body
                                    .decodeToString()
                                    .toLong(),
                            ),
                        )
                    assertEquals(request.identity, from.identity, "stored response of another identity")
                }
                is RequestResult.Failed -> {
                    val mayHaveRun = identityKey(request) in written
                    val isNotRun = result.failure.execution == Execution.NOT_RUN
                    assertTrue(!isNotRun || !mayHaveRun, "wrongly reported as not run: ${result.failure}")
                }
            }
        }

        private val completed = HashSet<RequestNumber>()

        private fun answer(attempt: Attempt): StoredResponse {
            completed += attempt.start.request
            return StoredResponse(
                200,
                null,
                attempt.start.request
                    .toString()
                    .encodeToByteArray(),
            )
        }

        private fun deliver(attempt: Attempt, units: Long): Long =
            ((delivered[attempt.start.request] ?: 0L) + units).also { delivered[attempt.start.request] = it }

        /** Identities to remove from [written] if [attempt] sent no byte: its own, unless another attempt sent one. */
        private fun unwritten(attempt: Attempt): Set<Any> {
            val request = requests.getValue(attempt.start.request)
            val hasEarlier = attempts.any { it !== attempt && it.start.request == request.number && it.mayHaveWritten }
            attempt.mayHaveWritten = false
            return if (hasEarlier) emptySet() else setOf(identityKey(request))
        }

        private var Attempt.mayHaveWritten: Boolean
            get() = this !in unconnected
            set(value) {
                if (value) unconnected -= this else unconnected += this
            }

        private val unconnected = HashSet<Attempt>()

        private fun identityKey(request: CallerRequest): Any =
            if (request.identity == RequestIdentity.Idempotent) request.number else request.identity

        private fun open(number: Int): Attempt? = attempts.filter { !it.isOver }.let { it.getOrNull(number % 3) }

        private fun anyRequest(number: Int) = RequestNumber(maxOf(1L, requests.size - number.toLong()))
    }

    private companion object {
        val rare = setOf(Kind.DRAIN, Kind.REMOVE_SERVER, Kind.TOGGLE_FRESHNESS, Kind.TOGGLE_QUEUE_FULL)
    }
}
