package azuredale.configuration

import azuredale.identity.FailureDomain
import azuredale.identity.Incarnation
import azuredale.identity.NetworkAddress
import azuredale.identity.Region
import azuredale.identity.Revision
import azuredale.identity.RouterId
import azuredale.membership.Member
import azuredale.membership.MemberState
import azuredale.protocol.DocumentBody
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import org.slf4j.LoggerFactory

/** Small documents and members for tests. */
internal object DocumentFixture {
    val self = RouterId("r0")
    val domain = FailureDomain("south-a")

    /** A valid document whose team has [share], so that documents can be made to differ. */
    fun text(share: Int) = "[failure-domain south-a]\nregion = south\n\n[pool models]\nkind = model\n\n" +
        "[server s1]\npool = models\naddress = 10.0.0.1:8000\nfailure-domain = south-a\nslots = 4\nbatch = blue\n\n" +
        "[team t1]\nshare = $share\npools = models\n"

    fun accepted(revision: Long): AcceptedDocument {
        val parsed = DocumentParser.parse(text(revision.toInt() + 1)) as ParseResult.Valid
        return AcceptedDocument(Revision(revision), text(revision.toInt() + 1), parsed.value, "submission-$revision")
    }

    /** Runs [block] with this package's log disabled, for tests that repeat a step thousands of times. */
    fun withoutLog(block: () -> Unit) {
        val logger = LoggerFactory.getLogger("azuredale.configuration") as Logger
        val level = logger.level
        logger.level = Level.OFF
        try {
            block()
        } finally {
            logger.level = level
        }
    }

    fun body(revision: Long): DocumentBody = DocumentBody(Revision(revision), HeldDocument(accepted(revision)).body)

    fun member(name: String, state: MemberState = MemberState.ALIVE, failureDomain: FailureDomain = domain): Member {
        val address = NetworkAddress("127.0.0.1", 1)
        return Member(
            router = RouterId(name),
            incarnation = Incarnation(1),
            state = state,
            region = Region("south"),
            failureDomain = failureDomain,
            peerAddress = address,
            probeAddress = address,
            callerAddress = address,
        )
    }
}
