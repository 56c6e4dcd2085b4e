package plantainturn.process.membership.internal

import plantainturn.process.membership.Member
import plantainturn.process.membership.MemberIdentifier
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random

/** Chooses whom to talk to: each member once a round, in an order drawn anew for each round. */
internal class PeerSelector(
    private val self: MemberIdentifier,
    private val random: Random,
) {
    private val lock = ReentrantLock()
    private val round = ArrayDeque<MemberIdentifier>()

    /** Returns the member whose turn it is, or null if there is none but this node. */
    fun next(members: List<Member>): Member? =
        lock.withLock {
            val others = members.filter { it.identifier != self }.associateBy { it.identifier }
            if (others.isEmpty()) return null
            round.retainAll(others.keys)
            if (round.isEmpty()) round.addAll(others.keys.shuffled(random))
            others[round.removeFirst()]
        }

    /** Returns one of [members] other than this node at random, or null if there is none. */
    fun randomPeer(members: List<Member>): Member? =
        lock.withLock { members.filter { it.identifier != self }.randomOrNull(random) }

    /** Returns up to [count] members at random, without this node and [except]. */
    fun randomPeers(
        members: List<Member>,
        count: Int,
        excluded: MemberIdentifier,
    ): List<Member> =
        lock.withLock {
            members.filter { it.identifier != self && it.identifier != excluded }.shuffled(random).take(count)
        }

    /** Returns one of [addresses] at random. */
    fun randomAddress(addresses: List<String>): String? = lock.withLock { addresses.randomOrNull(random) }
}
