package azuredale.command

import azuredale.demo.PassThrough
import azuredale.measure.MeasureOptions
import azuredale.measure.runMeasure
import azuredale.membership.DatagramCodec
import azuredale.node.RouterNode
import azuredale.transport.MessageSizes
import org.kohsuke.args4j.Option
import java.nio.file.Path

/** `azuredale measure`. */
internal class MeasureCommand : Command("measure fairness, utilisation and control traffic of a simulated fleet") {
    @field:Option(name = "--profile", metaVar = "NAME", usage = "load profile: pampa-sinal or helmsway")
    var profile: String = "pampa-sinal"

    @field:Option(name = "--fault", metaVar = "NAME", usage = "fault to inject, such as allotter-lost")
    var fault: String? = null

    @field:Option(name = "--seed", metaVar = "N", usage = "random seed of the simulation")
    var seed: Long = 1

    @field:Option(name = "--routers", metaVar = "N", usage = "number of routers; load and servers scale with it")
    var routers: Int = 8

    @field:Option(name = "--shards", metaVar = "N", usage = "number of shards of each pool")
    var shards: Int = 1

    @field:Option(name = "--json", usage = "print JSON")
    var isJson: Boolean = false

    @field:Option(name = "--pass-through", usage = "compare one router with direct requests, in real time")
    var isPassThrough: Boolean = false

    @field:Option(name = "--scenario", metaVar = "FILE", usage = "run a scenario file instead of a profile")
    var scenario: String? = null

    override fun run(terminal: Terminal): Int {
        scenario?.let { readInputFile(it) }
        if (isPassThrough) {
            PassThrough(PHASE_SECONDS).run(terminal.output)
            return ExitCode.SUCCESS
        }
        return runMeasure(measureOptions(), terminal.output)
    }

    private fun measureOptions(): MeasureOptions {
        val datagrams = DatagramCodec(ByteArray(1))
        return MeasureOptions(
            createCore = { settings, incarnation, random -> RouterNode(settings, incarnation, random) },
            profile = profile,
            fault = fault,
            seed = seed,
            isJson = isJson,
            routers = routers,
            shards = shards,
            scenario = scenario?.let { Path.of(it) },
            messageSize = MessageSizes(),
            datagramSize = { datagrams.encode(it).size },
        )
    }

    private companion object {
        const val PHASE_SECONDS = 4L
    }
}
