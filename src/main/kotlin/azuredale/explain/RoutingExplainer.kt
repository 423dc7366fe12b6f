package azuredale.explain

import azuredale.catalog.Catalog
import azuredale.catalog.Route
import azuredale.directory.BackendEntry
import azuredale.engine.Eligibility
import azuredale.engine.PromptOutline
import azuredale.engine.SelectionRequest
import azuredale.engine.ServerSelection
import azuredale.engine.ServerStatistics
import azuredale.freshness.StoreView
import azuredale.gateway.AuthorizedRequest
import azuredale.gateway.GatewayContext
import azuredale.gateway.PromptGate
import azuredale.gateway.RequestHead
import azuredale.gateway.ServerChoice
import azuredale.outcome.Failure
import azuredale.outcome.Outcome
import azuredale.time.Timestamp

/**
 * Explains what this router would do with a request, by the same decisions as for real requests and without any effect:
 * nothing is sent, counted or reserved.
 */
internal class RoutingExplainer(
    private val context: GatewayContext,
    private val view: StoreView,
    private val statistics: ServerStatistics,
) {
    /** Answers [question] at [now]. */
    fun explain(question: RoutingQuestion, now: Timestamp): RoutingExplanation {
        val catalog = view.catalog
        val head = head(question, catalog)
        return when (val authorization = context.authorizer.authorize(head, now)) {
            is Outcome.Refused -> refused(question, authorization.failure, now)
            is Outcome.Success -> choose(question, head, authorization.value, now)
        }
    }

    private fun choose(
        question: RoutingQuestion,
        head: RequestHead,
        authorized: AuthorizedRequest,
        now: Timestamp,
    ): RoutingExplanation {
        val route = authorized.route
        val limit = minOf(head.remainingMilliseconds ?: Long.MAX_VALUE, route.timeoutMilliseconds)
        val onTimeUntil = now.plusMilliseconds(route.targetMilliseconds)
        val promptGate = PromptGate(head.prompt, context.admission.quarantine, context.clock)
        val deadline = now.plusMilliseconds(limit)
        val choice = ServerChoice(context, head.prompt, promptGate, authorized, onTimeUntil, deadline)
        val explanation =
            when (val next = choice.preview(now)) {
                is Outcome.Refused -> refused(question, next.failure, now)
                is Outcome.Success -> admitted(next.value, now)
            }
        return explanation.copy(
            route = route.name,
            pool = authorized.pool.name,
            team = authorized.team?.name,
            servers = servers(choice.selectionRequest(now), now),
        )
    }

    private fun admitted(selection: ServerSelection.Selected, now: Timestamp) =
        explanation(RoutingVerdict.ADMITTED, now).copy(chosen = selection.server.id.name)

    private fun refused(question: RoutingQuestion, failure: Failure, now: Timestamp) =
        explanation(RoutingVerdict.REFUSED, now).copy(
            kind = failure.kind.name,
            detail = failure.detail,
            retryMilliseconds = failure.retryAt?.let { it.microsecondsSince(now) / MICROSECONDS },
            route = question.route,
            team = question.team,
        )

    private fun explanation(verdict: RoutingVerdict, now: Timestamp) = RoutingExplanation(
        router = context.settings.router.name,
        verdict = verdict,
        catalogAge = age(view.catalogProof.at, now),
        directoryAge = age(view.directoryProof.at, now),
        loadAge = statistics.loads.oldestReport(now)?.let { age(it, now) },
    )

    private fun age(at: Timestamp, now: Timestamp): Long? =
        if (at == Timestamp.DISTANT_PAST) null else now.microsecondsSince(at) / MICROSECONDS

    private fun servers(request: SelectionRequest, now: Timestamp): List<ServerExplanation> {
        val servers =
            view.directory.entries.values
                .filter { it.pool == request.pool }
        val eligible = context.selector.eligibility.candidates(request, now)
        val candidates = (eligible as? Eligibility.Servers)?.servers.orEmpty()
        val outline = request.prompt?.let { context.selector.engines.outline(it, candidates, now) }
        return servers
            .map { server(it, request, outline, now) }
            .sortedWith(compareBy({ it.reason != null }, { it.cost }, { it.server }))
    }

    private fun server(
        server: BackendEntry,
        request: SelectionRequest,
        outline: PromptOutline?,
        now: Timestamp,
    ): ServerExplanation {
        val explanation =
            ServerExplanation(
                server = server.id.name,
                failureDomain = server.failureDomain.name,
                state = server.state.name,
                freeTokens = statistics.memory.freeTokens(server, now),
                reason =
                    context.selector.eligibility
                        .ineligibility(server, request, now)
                        ?.name,
            )
        if (outline == null) return explanation.copy(running = context.selector.load(server, now).running)
        val placement = context.selector.engines.placement(request, outline, server, now)
        val selection = placement.selection
        return explanation.copy(
            running = selection.load.running,
            waitingTokens = selection.load.waitingTokens,
            keptTokens = outline.prompt.promptTokens - selection.uncachedTokens,
            predictedMilliseconds = selection.predictedMilliseconds,
            costs = placement.cost.terms,
        )
    }

    /** The head of a request as described, with a key of the team. */
    private fun head(question: RoutingQuestion, catalog: Catalog?): RequestHead {
        val route: Route? = question.route?.let { name -> catalog?.routes?.firstOrNull { it.name == name } }
        return RequestHead(
            id = QUESTION_ID,
            method = "POST",
            target = route?.pathPrefix ?: question.path,
            host = route?.host ?: question.host,
            remainingMilliseconds = question.remainingMilliseconds,
            key =
                catalog
                    ?.teams
                    ?.firstOrNull { it.id.name == question.team }
                    ?.keys
                    ?.firstOrNull(),
            prompt = question.prompt,
            lastEventNumber = null,
            headers = emptyList(),
        )
    }

    private companion object {
        const val MICROSECONDS = Timestamp.MICROSECONDS_PER_MILLISECOND

        /** Requests are divided among the pools of a route by their ids; a question has none. */
        const val QUESTION_ID = "question"
    }
}
