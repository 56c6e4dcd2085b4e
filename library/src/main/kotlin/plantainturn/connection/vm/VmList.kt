package plantainturn.connection.vm

/**
 * Gives access to the platform's list of VMs.
 *
 * The list lags behind the actual state, so no safety property may depend on it.
 */
public fun interface VmList {
    /** Reads the list. Blocks for up to the implementation's timeout; failures are results, not exceptions. */
    public fun read(): VmListResult
}
