package plantainturn.standins

import kotlinx.serialization.Serializable
import plantainturn.connection.vm.VmEntry

/**
 * What [VmListStandIn] knows.
 *
 * @property vms the VMs as they are
 * @property listed the VMs as the list shows them
 */
@Serializable
public data class VmListTruth(
    val vms: List<VmEntry>,
    val listed: List<VmEntry>,
    val faults: OutageFaults,
)
