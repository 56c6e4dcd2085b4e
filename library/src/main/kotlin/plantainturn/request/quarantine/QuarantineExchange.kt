package plantainturn.request.quarantine

import kotlinx.collections.immutable.PersistentList

/** Shares quarantines between nodes; gossip carries the entries. Merging is idempotent and may be done in any order. */
public interface QuarantineExchange {
    /** Returns what this node knows, the latest first, a bounded number of entries. */
    public fun snapshot(): PersistentList<QuarantineEntry>

    /** Takes over what another node knows. */
    public fun merge(entries: List<QuarantineEntry>)

    /** Calls [listener] whenever this node quarantines a fingerprint, on the thread that did so. */
    public fun subscribe(listener: () -> Unit)
}
