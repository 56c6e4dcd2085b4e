package plantainturn.connection.vm

/**
 * The platform's list of VMs.
 *
 * It lags behind the truth, so nothing that must be safe depends on it.
 */
public fun interface VmList {
    /** Reads the list. Blocks up to the implementation's timeout and throws nothing. */
    public fun read(): VmListResult
}
