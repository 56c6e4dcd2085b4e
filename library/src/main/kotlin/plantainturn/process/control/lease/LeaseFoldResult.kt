package plantainturn.process.control.lease

/** The result of folding one entry. */
public data class LeaseFoldResult(
    val state: ControlState,
    val verdict: LeaseVerdict,
)
