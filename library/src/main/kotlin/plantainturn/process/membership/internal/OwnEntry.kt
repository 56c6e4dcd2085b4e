package plantainturn.process.membership.internal

import plantainturn.process.membership.GossipEntry
import plantainturn.process.membership.MemberState
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** What this node says of itself; its incarnation grows when others say something else. */
internal class OwnEntry(
    initial: GossipEntry.Membership,
) {
    private val lock = ReentrantLock()
    private var entry = initial
    private var counter = 0L

    fun current(): GossipEntry.Membership = lock.withLock { entry }

    fun nextCounter(): Long = lock.withLock { ++counter }

    /** Returns the entry that contradicts [rumour], or null if there is nothing to contradict. */
    fun refute(received: GossipEntry.Membership): GossipEntry.Membership? =
        lock.withLock {
            if (entry.state == MemberState.LEFT || received.version <= entry.version) return null
            entry = entry.copy(incarnation = received.incarnation + 1)
            entry
        }

    /** Returns the entry that says that this node goes. */
    fun leave(): GossipEntry.Membership =
        lock.withLock {
            entry = entry.copy(state = MemberState.LEFT)
            entry
        }
}
