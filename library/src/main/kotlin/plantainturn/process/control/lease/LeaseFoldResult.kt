package plantainturn.process.control.lease

/** The state after one entry was folded, and whether the entry took effect. */
public data class LeaseFoldResult(
    val state: ControlState,
    val verdict: LeaseVerdict,
)
