package plantainturn.connection.vm

import kotlinx.collections.immutable.PersistentList

/** The result of a read of the VM list. */
public sealed interface VmListResult {
    /** The platform answered with its list, which may be out of date. */
    public data class Listed(
        val vms: PersistentList<VmEntry>,
    ) : VmListResult

    /** The platform did not answer, or not with a valid list. */
    public data class Unavailable(
        val reason: String,
    ) : VmListResult
}
