package plantainturn.process.membership.internal

import plantainturn.process.membership.GossipEntry
import plantainturn.process.membership.Member
import plantainturn.process.membership.MemberIdentifier
import plantainturn.process.membership.MemberState
import plantainturn.process.membership.MembershipSettings
import plantainturn.process.membership.PeerResult
import plantainturn.process.membership.ProbeRequest
import java.util.concurrent.atomic.AtomicInteger

/**
 * Finds out which members answer.
 *
 * @param members gives the members believed to be present
 * @param merge takes what is found out
 */
internal class MemberProber(
    private val settings: MembershipSettings,
    private val link: PeerLink,
    private val table: GossipTable,
    private val choice: PeerChoice,
    private val members: () -> List<Member>,
    private val merge: (GossipEntry) -> Unit,
) {
    /**
     * Exchanges a message with the member whose turn it is; returns whether there is one.
     *
     * @param suspectedFirst whether a suspected member goes first, so that it hears soon what it has to contradict
     */
    fun probeNext(suspectedFirst: Boolean): Boolean {
        val present = members()
        val suspected = if (suspectedFirst) choice.any(present.filter { it.suspected }) else null
        val member = suspected ?: choice.next(present) ?: return false
        probe(member)
        return true
    }

    /** Tries the member for a peer and tells it whether it answered. */
    fun probeFor(
        request: ProbeRequest,
        onResult: (Boolean) -> Unit,
    ) {
        link.exchange(request.address, link.news(request.member)) { onResult(answeredBy(request.member, it)) }
    }

    private fun probe(member: Member) {
        link.exchange(member.address, link.request(member.identifier)) { result ->
            if (!answeredBy(member.identifier, result)) probeThroughOthers(member)
        }
    }

    private fun probeThroughOthers(member: Member) {
        val helpers = choice.several(members(), settings.helpers, member.identifier)
        if (helpers.isEmpty()) {
            suspect(member.identifier)
            return
        }
        val silent = AtomicInteger(helpers.size)
        val probe = ProbeRequest(member.identifier, member.address)
        for (helper in helpers) {
            val message = link.news(helper.identifier).copy(probe = probe)
            link.exchange(helper.address, message, settings.probeTimeout * 2) { result ->
                val reached = (result as? PeerResult.Answered)?.message?.probed == true
                if (!reached && silent.decrementAndGet() == 0) suspect(member.identifier)
            }
        }
    }

    private fun suspect(member: MemberIdentifier) {
        val entry = table.get(GossipEntry.keyOf(member)) as? GossipEntry.Membership ?: return
        if (entry.state == MemberState.ALIVE) merge(entry.copy(state = MemberState.SUSPECT))
    }

    /** Returns whether [member] itself answered. Another process at its address shows that it is gone. */
    private fun answeredBy(
        member: MemberIdentifier,
        result: PeerResult,
    ): Boolean {
        if (result !is PeerResult.Answered) return false
        if (result.message.sender.member == member) return true
        val entry = table.get(GossipEntry.keyOf(member)) as? GossipEntry.Membership
        if (entry != null && entry.state.present) merge(entry.copy(state = MemberState.DEAD))
        return false
    }
}
