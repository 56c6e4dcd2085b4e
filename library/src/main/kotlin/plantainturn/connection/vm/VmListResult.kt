package plantainturn.connection.vm

import kotlinx.collections.immutable.PersistentList

/** What a read of the VM list gave. */
public sealed interface VmListResult {
    /** The list as the platform last knew it. */
    public data class Listed(
        val vms: PersistentList<VmEntry>,
    ) : VmListResult

    /** The platform did not answer. */
    public data class Unavailable(
        val reason: String,
    ) : VmListResult
}
