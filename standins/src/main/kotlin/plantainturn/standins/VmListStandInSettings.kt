package plantainturn.standins

import kotlinx.serialization.Serializable
import plantainturn.connection.vm.VmEntry

/**
 * Settings of [VmListStandIn].
 *
 * @property port 0 lets the system pick one
 * @property lagMilliseconds how much later than its change the list shows a VM's state
 * @property vms the VMs at the start
 */
@Serializable
public data class VmListStandInSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val lagMilliseconds: Long = 500,
    val vms: List<VmEntry> = emptyList(),
)
