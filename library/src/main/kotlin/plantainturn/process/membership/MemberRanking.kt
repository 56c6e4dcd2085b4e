package plantainturn.process.membership

import com.google.common.hash.Hashing

/**
 * Ranks the members for a task that one of them should do first.
 *
 * All nodes that believe in the same members agree on the ranks without talking. A rank only spreads attempts out;
 * nothing that must be safe may depend on it.
 */
public class MemberRanking(
    private val membership: Membership,
) {
    /** Returns how many members go before this node for [task], 0 if it is the first. */
    public fun rankOfSelf(task: String): Int {
        val own = weight(task, membership.self)
        return membership.members().count { it.identifier != membership.self && weight(task, it.identifier) > own }
    }

    private fun weight(
        task: String,
        member: MemberIdentifier,
    ): Long = Hashing.murmur3_128().hashString("$task $member", Charsets.UTF_8).asLong()
}
