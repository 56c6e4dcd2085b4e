package plantainturn.process.membership.internal

import plantainturn.process.membership.GossipEntry
import plantainturn.process.membership.GossipMessage
import plantainturn.process.membership.MemberIdentifier
import plantainturn.process.membership.PeerResult
import plantainturn.process.membership.PeerTransport
import plantainturn.version.configuration.ConfigurationVersion
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/**
 * Exchanges messages with peers and keeps the place in the keys up to which this node has synchronised.
 *
 * @param timeout the time that a peer has to answer
 * @param take takes what a peer sent
 * @param isHeld tells whether this node holds an entry of that key
 */
internal class PeerLink(
    private val transport: PeerTransport,
    private val composer: MessageComposer,
    private val own: OwnEntry,
    private val configurationVersion: () -> ConfigurationVersion,
    private val timeout: Duration,
    private val take: (GossipMessage) -> Unit,
    private val isHeld: (key: String) -> Boolean,
) {
    private val syncFrom = AtomicReference("")
    private val followUpsLeft = AtomicInteger(FOLLOW_UPS_IN_A_PERIOD)

    /** Whether the next [request] asks for what this node lacks. */
    @Volatile
    var syncDue: Boolean = true

    @Volatile
    private var closed = false

    fun beginPeriod() {
        followUpsLeft.set(FOLLOW_UPS_IN_A_PERIOD)
    }

    fun close() {
        closed = true
    }

    /** Returns a message with news, and a request for what this node lacks when that is due. */
    fun request(receiver: MemberIdentifier?): GossipMessage {
        val from = if (syncDue) syncFrom.get() else null
        syncDue = false
        return composer.request(bare(receiver), from)
    }

    /** Returns a message with news. */
    fun news(receiver: MemberIdentifier?): GossipMessage = composer.request(bare(receiver), null)

    /** Returns the answer to [message]. */
    fun answerTo(
        message: GossipMessage,
        probed: Boolean?,
    ): GossipMessage = composer.answer(bare(message.sender.member).copy(probed = probed), message.sync)

    /** Sends [message] and takes what comes back, before [onResult] is called. */
    fun exchange(
        address: String,
        message: GossipMessage,
        limit: Duration = timeout,
        onResult: (PeerResult) -> Unit,
    ) {
        transport.exchange(address, message, limit) { result ->
            if (closed) return@exchange
            if (result is PeerResult.Answered) taken(address, message, result.message)
            onResult(result)
        }
    }

    private fun taken(
        address: String,
        message: GossipMessage,
        answer: GossipMessage,
    ) {
        val bringsMembers = answer.entries.any { it is GossipEntry.Membership && !isHeld(it.key) }
        take(answer)
        if (message.sync != null) synced(address, answer, bringsMembers)
    }

    /**
     * Goes on with the next part of the keys as long as the peer has something to send: in the next period, or at once
     * while it brings members that were not known, so that a node that joins soon knows the others.
     */
    private fun synced(
        address: String,
        answer: GossipMessage,
        bringsMembers: Boolean,
    ) {
        syncFrom.set(answer.syncedTo.orEmpty())
        if (answer.syncedTo == null || answer.entries.isEmpty()) return
        syncDue = true
        if (bringsMembers && followUpsLeft.getAndDecrement() > 0) {
            exchange(address, request(answer.sender.member)) {}
        }
    }

    private fun bare(receiver: MemberIdentifier?): GossipMessage =
        GossipMessage(own.current(), receiver, configurationVersion())

    private companion object {
        const val FOLLOW_UPS_IN_A_PERIOD = 8
    }
}
