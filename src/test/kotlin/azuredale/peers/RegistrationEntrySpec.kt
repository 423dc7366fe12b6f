package azuredale.peers

import azuredale.directory.BackendEntry
import azuredale.directory.BackendState
import azuredale.identity.FailureDomain
import azuredale.identity.NetworkAddress
import azuredale.identity.PoolId
import azuredale.identity.ServerId
import java.lang.reflect.Modifier
import kotlin.test.Test
import kotlin.test.assertEquals

class RegistrationEntrySpec {
    private fun fields(type: Class<*>) = type.declaredFields.count { !Modifier.isStatic(it.modifiers) }

    @Test
    fun `a registration is the same after it was passed on`() {
        // Guards against routers that choose servers differently, depending on where they learned the registration.
        val id = ServerId("a")
        val entry =
            BackendEntry(
                id,
                PoolId("p"),
                NetworkAddress("10.0.0.1", 80),
                FailureDomain("d"),
                slots = 7,
                state = BackendState.DRAINING,
                startedAtMilliseconds = 12,
            )
        assertEquals(entry, RegistrationEntry.of(entry).toEntry(id))
        // The id is in the enclosing change, and the address takes two fields.
        val message = "a new field of a registration must also be passed on: add it to RegistrationEntry and here"
        assertEquals(fields(BackendEntry::class.java), fields(RegistrationEntry::class.java), message)
    }
}
