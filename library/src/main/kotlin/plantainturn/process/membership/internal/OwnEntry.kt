package plantainturn.process.membership.internal

import plantainturn.process.membership.GossipEntry
import plantainturn.process.membership.MemberState
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Holds this node's own membership entry, whose incarnation is raised to refute entries from other nodes. */
internal class OwnEntry(
    initial: GossipEntry.Membership,
) {
    private val lock = ReentrantLock()
    private var entry = initial
    private var counter = 0L

    fun current(): GossipEntry.Membership = lock.withLock { entry }

    fun nextCounter(): Long = lock.withLock { ++counter }

    /** Returns an entry that refutes [received], or null if no refutation is needed. */
    fun refute(received: GossipEntry.Membership): GossipEntry.Membership? =
        lock.withLock {
            if (entry.state == MemberState.LEFT || received.version <= entry.version) return null
            entry = entry.copy(incarnation = received.incarnation + 1)
            entry
        }

    /** Returns the entry that announces that this node leaves. */
    fun leave(): GossipEntry.Membership =
        lock.withLock {
            entry = entry.copy(state = MemberState.LEFT)
            entry
        }
}
