package azuredale.measure

/** Exit codes of `azuredale measure`. */
internal object MeasureExit {
    const val KEPT: Int = 0
    const val PROMISE_BROKEN: Int = 1
    const val USAGE: Int = 2
}

/**
 * Runs a profile or a scenario and prints its result to [output].
 *
 * Returns 0 when all promises are kept, 1 when one is broken, 2 for options that name nothing known. A missed target
 * is printed and does not change the exit code.
 */
public fun runMeasure(options: MeasureOptions, output: Appendable): Int {
    val fleetOptions =
        FleetOptions(
            seed = options.seed,
            createCore = options.createCore,
            messageSize = options.messageSize,
            datagramSize = options.datagramSize,
            documentText = options.documentText,
        )
    return runProfile(options, fleetOptions, output)
}

private fun runProfile(options: MeasureOptions, fleetOptions: FleetOptions, output: Appendable): Int {
    val profile = Profile.named(options.profile, options.routers)
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
    val broken = PromiseCheck(result).broken()
    ReportPrinter(result, broken).run { if (options.isJson) printJson(output) else printText(output) }
    return if (broken.isEmpty()) MeasureExit.KEPT else MeasureExit.PROMISE_BROKEN
}
