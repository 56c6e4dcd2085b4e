package plantainturn.connection.vm

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.FailureDomain

/**
 * Describes one VM in the platform's list.
 *
 * @property address base URL of the process that runs on the VM, such as `http://127.0.0.1:8000`
 * @property failureDomain the failure domain of the VM
 * @property kind what runs on the VM
 * @property leaving whether the VM is about to be removed and must get no new requests
 */
@Serializable
public data class VmEntry(
    val address: String,
    val failureDomain: FailureDomain,
    val kind: VmKind,
    val leaving: Boolean = false,
)
