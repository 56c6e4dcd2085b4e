package plantainturn.request.quarantine

import kotlinx.collections.immutable.PersistentList

/** Shares quarantines between nodes by gossip. Merging is idempotent and independent of the order. */
public interface QuarantineExchange {
    /** Returns a bounded number of the entries that this node knows, quarantined ones first, then the latest. */
    public fun snapshot(): PersistentList<QuarantineEntry>

    /** Adds the entries of another node. */
    public fun merge(entries: List<QuarantineEntry>)

    /** Registers [listener] to be called whenever this node quarantines a fingerprint, on the thread that did so. */
    public fun subscribe(listener: () -> Unit)
}
