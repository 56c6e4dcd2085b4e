package plantainturn.process.control.controller.internal

import plantainturn.process.control.lease.Lease
import plantainturn.process.control.ledger.MemoryLedger

/** The state that a controller keeps for the duration of one lease. */
internal class ControlSession(
    val lease: Lease,
    val ledger: MemoryLedger,
    val budget: LoadBudget,
)
