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
 * Detects members that do not answer, by direct and indirect probes.
 *
 * @param members returns the members believed to be running
 * @param merge applies the entries that result from probes
 */
internal class MemberProber(
    private val settings: MembershipSettings,
    private val link: PeerLink,
    private val table: GossipTable,
    private val peerSelector: PeerSelector,
    private val members: () -> List<Member>,
    private val merge: (GossipEntry) -> Unit,
) {
    /**
     * Exchanges a message with the next member and returns whether there is one.
     *
     * @param suspectedFirst whether a suspected member goes first, so that it can refute the suspicion soon
     */
    fun probeNext(suspectedFirst: Boolean): Boolean {
        val present = members()
        val suspected = if (suspectedFirst) peerSelector.randomPeer(present.filter { it.suspected }) else null
        val member = suspected ?: peerSelector.next(present) ?: return false
        probe(member)
        return true
    }

    /** Probes a member on behalf of a peer and passes to [onResult] whether it answered. */
    fun probeForPeer(
        request: ProbeRequest,
        onResult: (Boolean) -> Unit,
    ) {
        link.exchange(request.address, link.updates(request.member)) { onResult(verifyAnswer(request.member, it)) }
    }

    private fun probe(member: Member) {
        link.exchange(member.address, link.request(member.identifier)) { result ->
            if (!verifyAnswer(member.identifier, result)) probeIndirectly(member)
        }
    }

    private fun probeIndirectly(member: Member) {
        val probers = peerSelector.randomPeers(members(), settings.indirectProbers, member.identifier)
        if (probers.isEmpty()) {
            suspect(member.identifier)
            return
        }
        val outstanding = AtomicInteger(probers.size)
        val probe = ProbeRequest(member.identifier, member.address)
        for (prober in probers) {
            val message = link.updates(prober.identifier).copy(probe = probe)
            link.exchange(prober.address, message, settings.probeTimeout * 2) { result ->
                val reached = (result as? PeerResult.Answered)?.message?.probed == true
                if (!reached && outstanding.decrementAndGet() == 0) suspect(member.identifier)
            }
        }
    }

    private fun suspect(member: MemberIdentifier) {
        val entry = table.get(GossipEntry.keyOf(member)) as? GossipEntry.Membership ?: return
        if (entry.state == MemberState.ALIVE) merge(entry.copy(state = MemberState.SUSPECT))
    }

    /** Returns whether [member] itself answered. If another process answered at its address, declares it dead. */
    private fun verifyAnswer(
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
