package plantainturn.process.membership.internal

import plantainturn.process.membership.GossipEntry
import plantainturn.process.membership.MemberIdentifier
import plantainturn.process.time.Moment
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Tracks the deadlines of suspected members and the expiry of the tombstones of members that are gone. */
internal class SuspicionTracker {
    private class Suspicion(
        val entry: GossipEntry.Membership,
        var deadline: Moment,
    )

    private val lock = ReentrantLock()
    private val suspected = mutableMapOf<MemberIdentifier, Suspicion>()
    private val tombstones = mutableMapOf<MemberIdentifier, Moment>()

    fun suspect(
        entry: GossipEntry.Membership,
        deadline: Moment,
    ) {
        lock.withLock { suspected[entry.member] = Suspicion(entry, deadline) }
    }

    fun clear(member: MemberIdentifier) {
        lock.withLock {
            suspected.remove(member)
            tombstones.remove(member)
        }
    }

    fun markGone(
        member: MemberIdentifier,
        until: Moment,
    ) {
        lock.withLock {
            suspected.remove(member)
            tombstones[member] = until
        }
    }

    /** Sets the deadline of all suspicions to [deadline]. */
    fun extendAll(deadline: Moment) {
        lock.withLock { suspected.values.forEach { it.deadline = deadline } }
    }

    /** Removes the suspicions whose deadline has passed and returns their entries. */
    fun removeExpired(now: Moment): List<GossipEntry.Membership> =
        lock.withLock {
            val expired = suspected.values.filter { it.deadline <= now }.map { it.entry }
            expired.forEach { suspected.remove(it.member) }
            expired
        }

    /** Removes the expired tombstones and returns their members. */
    fun removeExpiredTombstones(now: Moment): List<MemberIdentifier> =
        lock.withLock {
            val expired = tombstones.filterValues { it <= now }.keys.toList()
            expired.forEach(tombstones::remove)
            expired
        }
}
