package azuredale.measure

import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Exit codes of `azuredale measure`. */
internal object MeasureExit {
    const val PASSED: Int = 0
    const val FAILED: Int = 1
    const val USAGE: Int = 2
}

/**
 * Runs a profile or a scenario and prints its result to [output].
 *
 * Returns 0 if all invariants and expectations hold, 1 if one is violated, and 2 for an unknown profile or fault or an
 * invalid scenario. A missed target is printed but does not change the exit code.
 */
public fun runMeasure(options: MeasureOptions, output: Appendable): Int {
    val createOptions = { seed: Long ->
        FleetOptions(seed, options.createCore, options.messageSize, options.datagramSize)
    }
    return when (val file = options.scenario) {
        null -> runProfile(options, createOptions(options.seed), output)
        else -> runScenario(file, options.seed, createOptions, output)
    }
}

private fun runProfile(options: MeasureOptions, fleetOptions: FleetOptions, output: Appendable): Int {
    val profile = Profile.named(options.profile, options.routers, options.shards)
    val fault = options.fault?.let { Fault.named(it) }
    if (profile == null) {
        output.appendLine("profile ${options.profile} does not exist; known: ${Profile.names.joinToString()}")
        return MeasureExit.USAGE
    }
    if (options.fault != null && fault == null) {
        output.appendLine("fault ${options.fault} does not exist; known: ${Fault.entries.joinToString { it.label }}")
        return MeasureExit.USAGE
    }
    val result = Experiment(profile, fault, fleetOptions).run()
    val violations = InvariantCheck(result).violations()
    ReportPrinter(result, violations).run { if (options.isJson) printJson(output) else printText(output) }
    return if (violations.isEmpty()) MeasureExit.PASSED else MeasureExit.FAILED
}

/** Runs the scenario in [file]. On failure, prints the seed, the failed checks and the last events. */
internal fun runScenario(file: Path, seed: Long, createOptions: (Long) -> FleetOptions, output: Appendable): Int {
    val scenario =
        try {
            ScenarioParser(file.toString(), seed).parse(file.readText())
        } catch (failure: ScenarioException) {
            output.appendLine(failure.message)
            return MeasureExit.USAGE
        } catch (failure: IOException) {
            output.appendLine("scenario $file cannot be read: ${failure.message}")
            return MeasureExit.USAGE
        }
    val run = ScenarioRun(scenario, createOptions)
    val failures = run.run()
    if (failures.isEmpty()) {
        output.appendLine("$file passed, seed ${scenario.seed}, ${run.count(null)} complete answers")
        return MeasureExit.PASSED
    }
    output.appendLine("$file failed, seed ${scenario.seed}")
    failures.forEach { output.appendLine("  $it") }
    output.appendLine("last events:")
    run.fleet.invariants.trace
        .forEach { output.appendLine("  $it") }
    return MeasureExit.FAILED
}
