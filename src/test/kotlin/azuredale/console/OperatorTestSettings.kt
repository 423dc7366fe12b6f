package azuredale.console

import azuredale.configuration.RouterSettings
import azuredale.configuration.Secret
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.RouterId

/** Operator token in tests of the operator interface. */
internal const val TEST_OPERATOR_TOKEN = "operator-token-of-the-test"

/** Settings for tests of the operator interface; port 0 lets the system choose free ports. */
internal fun operatorTestSettings(): RouterSettings {
    val address = NetworkAddress("127.0.0.1", 0)
    return RouterSettings(
        router = RouterId("router-1"),
        region = Region("south"),
        failureDomain = FailureDomain("south-a"),
        callerAddress = address,
        operatorAddress = address,
        peerAddress = address,
        probeAddress = address,
        keyValueServiceAddress = address,
        fleetKey = Secret("fleet-key-of-the-test"),
        operatorToken = Secret(TEST_OPERATOR_TOKEN),
    )
}
