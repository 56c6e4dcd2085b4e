package plantainturn.process.membership.internal

import plantainturn.process.membership.Member
import plantainturn.process.membership.MemberIdentifier
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random

/** Selects peers to contact: each member once per round, with the order shuffled for each round. */
internal class PeerSelector(
    private val self: MemberIdentifier,
    private val random: Random,
) {
    private val lock = ReentrantLock()
    private val round = ArrayDeque<MemberIdentifier>()

    /** Returns the next member of the round, or null if there is no member other than this node. */
    fun next(members: List<Member>): Member? =
        lock.withLock {
            val others = members.filter { it.identifier != self }.associateBy { it.identifier }
            if (others.isEmpty()) return null
            round.retainAll(others.keys)
            if (round.isEmpty()) round.addAll(others.keys.shuffled(random))
            others[round.removeFirst()]
        }

    /** Returns a random member of [members] other than this node, or null if there is none. */
    fun randomPeer(members: List<Member>): Member? =
        lock.withLock { members.filter { it.identifier != self }.randomOrNull(random) }

    /** Returns up to [count] random members other than this node and [excluded]. */
    fun randomPeers(
        members: List<Member>,
        count: Int,
        excluded: MemberIdentifier,
    ): List<Member> =
        lock.withLock {
            members.filter { it.identifier != self && it.identifier != excluded }.shuffled(random).take(count)
        }

    /** Returns a random address of [addresses], or null if there is none. */
    fun randomAddress(addresses: List<String>): String? = lock.withLock { addresses.randomOrNull(random) }
}
