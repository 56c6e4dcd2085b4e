package plantainturn.process.membership.internal

import plantainturn.process.membership.GossipEntry
import plantainturn.process.membership.MemberIdentifier
import plantainturn.process.time.Moment
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** The members under suspicion and those that are gone, with the moments at which that ends. */
internal class Suspicions {
    private class Suspicion(
        val entry: GossipEntry.Membership,
        var deadline: Moment,
    )

    private val lock = ReentrantLock()
    private val suspected = mutableMapOf<MemberIdentifier, Suspicion>()
    private val gone = mutableMapOf<MemberIdentifier, Moment>()

    fun suspect(
        entry: GossipEntry.Membership,
        deadline: Moment,
    ) {
        lock.withLock { suspected[entry.member] = Suspicion(entry, deadline) }
    }

    fun clear(member: MemberIdentifier) {
        lock.withLock {
            suspected.remove(member)
            gone.remove(member)
        }
    }

    fun bury(
        member: MemberIdentifier,
        until: Moment,
    ) {
        lock.withLock {
            suspected.remove(member)
            gone[member] = until
        }
    }

    /** Gives all suspected members until [deadline]. */
    fun restart(deadline: Moment) {
        lock.withLock { suspected.values.forEach { it.deadline = deadline } }
    }

    /** Returns and forgets the suspicions whose time has passed. */
    fun expired(now: Moment): List<GossipEntry.Membership> =
        lock.withLock {
            val over = suspected.values.filter { it.deadline <= now }.map { it.entry }
            over.forEach { suspected.remove(it.member) }
            over
        }

    /** Returns and forgets the members that need not be remembered any more. */
    fun forgotten(now: Moment): List<MemberIdentifier> =
        lock.withLock {
            val over = gone.filterValues { it <= now }.keys.toList()
            over.forEach(gone::remove)
            over
        }
}
