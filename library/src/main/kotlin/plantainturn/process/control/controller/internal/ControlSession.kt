package plantainturn.process.control.controller.internal

import plantainturn.process.control.lease.Lease
import plantainturn.process.control.ledger.MemoryLedger

/** What a controller holds for the length of one lease. */
internal class ControlSession(
    val lease: Lease,
    val ledger: MemoryLedger,
    val budget: LoadBudget,
)
