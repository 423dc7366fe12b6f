package azuredale.routing

import azuredale.configuration.Document
import azuredale.configuration.PoolKind
import azuredale.configuration.Requirement
import azuredale.identity.AdapterName
import azuredale.identity.ModelVersion
import azuredale.identity.TeamId
import azuredale.outcome.ErrorKind
import azuredale.outcome.Outcome
import azuredale.outcome.refused

/** Resolves a model name from a request to a pool and a model version: `name@version`, or `name` for any version. */
internal object ModelResolver {
    fun resolve(document: Document, team: TeamId, model: String, adapter: String?): Outcome<Requirement> {
        val allowed = document.teams[team]?.pools ?: return refused(ErrorKind.UNKNOWN_TEAM, team.name)
        val versions = document.modelVersions.keys.filter { it.name == model || it.model == model }
        val candidates = versions.flatMap { version -> requirements(document, version, adapter) }
        if (candidates.isEmpty()) return refused(ErrorKind.UNKNOWN_MODEL, model)
        val usable = candidates.filter { it.pool in allowed }
        if (usable.isEmpty()) return refused(ErrorKind.POOL_NOT_ALLOWED, candidates.first().pool.name)
        // Choose the version with the most eligible servers. On a tie, the first in document order wins.
        return Outcome.Success(usable.maxBy { eligible(document, it) })
    }

    private fun requirements(document: Document, version: ModelVersion, adapter: String?): List<Requirement> =
        document.servers.values
            .filter { version in it.modelVersions && document.pools[it.pool]?.kind == PoolKind.MODEL }
            .map { it.pool }
            .distinct()
            .map { Requirement(it, version, adapter?.let(::AdapterName)) }

    private fun eligible(document: Document, requirement: Requirement): Int =
        document.serversOf(requirement.pool).count { document.allows(it.id, requirement) }
}
