package plantainturn.standins

import kotlinx.serialization.builtins.ListSerializer
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import plantainturn.connection.vm.HttpVmList
import plantainturn.connection.vm.VmEntry
import plantainturn.connection.vm.VmKind
import plantainturn.connection.vm.VmListResult
import plantainturn.version.configuration.FailureDomain
import kotlin.test.assertEquals
import kotlin.test.assertIs

@Timeout(30)
class HttpVmListTest {
    @Test
    fun `the list shows a change after its lag and nothing during an outage`() {
        val vm = VmEntry("http://127.0.0.1:1", FailureDomain("bergamo"), VmKind.UPSTREAM)
        VmListStandIn(VmListStandInSettings(lagMilliseconds = 100, vms = listOf(vm))).use { standIn ->
            val control = StandInClient(standIn.start())
            val list = HttpVmList(StandInClient.CLIENT, control.address)
            assertEquals(listOf(vm), listed(list))
            val leaving = vm.copy(leaving = true)
            control.switch(ListSerializer(VmEntry.serializer()), listOf(leaving), "/standin/vms")
            assertEquals(listOf(leaving), control.truth(VmListTruth.serializer()).vms)
            control.awaitTruth(VmListTruth.serializer()) { it.listed == listOf(leaving) }
            assertEquals(listOf(leaving), listed(list))
            for (mode in OutageMode.entries - OutageMode.NONE) {
                control.switch(OutageFaults.serializer(), OutageFaults(mode))
                assertIs<VmListResult.Unavailable>(list.read())
            }
        }
    }

    private fun listed(list: HttpVmList) = assertIs<VmListResult.Listed>(list.read()).vms.toList()
}
