package plantainturn.process.membership

import com.google.common.hash.Hashing

/**
 * Ranks the members for a task by rendezvous hashing, so that one of them attempts it first.
 *
 * Nodes with the same view of the members compute the same ranks without communicating. Ranks only spread attempts out;
 * safety properties must not depend on them.
 */
public class MemberRanking(
    private val membership: Membership,
) {
    /** Returns the number of members that precede this node for [task], 0 if it is first. */
    public fun rankOfSelf(task: String): Int {
        val own = weight(task, membership.self)
        return membership.members().count { it.identifier != membership.self && weight(task, it.identifier) > own }
    }

    private fun weight(
        task: String,
        member: MemberIdentifier,
    ): Long = Hashing.murmur3_128().hashString("$task $member", Charsets.UTF_8).asLong()
}
