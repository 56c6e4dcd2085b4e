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
    private val ownEntry: OwnEntry,
    private val configurationVersion: () -> ConfigurationVersion,
    private val timeout: Duration,
    private val onMessage: (GossipMessage) -> Unit,
    private val isHeld: (key: String) -> Boolean,
) {
    private val syncFrom = AtomicReference("")
    private val remainingFollowUps = AtomicInteger(FOLLOW_UPS_PER_PERIOD)

    /** Whether the next [request] asks for what this node lacks. */
    @Volatile
    var syncDue: Boolean = true

    @Volatile
    private var closed = false

    fun beginPeriod() {
        remainingFollowUps.set(FOLLOW_UPS_PER_PERIOD)
    }

    fun close() {
        closed = true
    }

    /** Returns a message with news, and a request for what this node lacks when that is due. */
    fun request(receiver: MemberIdentifier?): GossipMessage {
        val from = if (syncDue) syncFrom.get() else null
        syncDue = false
        return composer.request(baseMessage(receiver), from)
    }

    /** Returns a message with news. */
    fun updates(receiver: MemberIdentifier?): GossipMessage = composer.request(baseMessage(receiver), null)

    /** Returns the answer to [message]. */
    fun answerTo(
        message: GossipMessage,
        probed: Boolean?,
    ): GossipMessage = composer.answer(baseMessage(message.sender.member).copy(probed = probed), message.sync)

    /** Sends [message] and takes what comes back, before [onResult] is called. */
    fun exchange(
        address: String,
        message: GossipMessage,
        responseTimeout: Duration = timeout,
        onResult: (PeerResult) -> Unit,
    ) {
        transport.exchange(address, message, responseTimeout) { result ->
            if (closed) return@exchange
            if (result is PeerResult.Answered) handleAnswer(address, message, result.message)
            onResult(result)
        }
    }

    private fun handleAnswer(
        address: String,
        message: GossipMessage,
        answer: GossipMessage,
    ) {
        val hasNewMembers = answer.entries.any { it is GossipEntry.Membership && !isHeld(it.key) }
        onMessage(answer)
        if (message.sync != null) continueSync(address, answer, hasNewMembers)
    }

    /**
     * Goes on with the next part of the keys as long as the peer has something to send: in the next period, or at once
     * while it brings members that were not known, so that a node that joins soon knows the others.
     */
    private fun continueSync(
        address: String,
        answer: GossipMessage,
        hasNewMembers: Boolean,
    ) {
        syncFrom.set(answer.syncedTo.orEmpty())
        if (answer.syncedTo == null || answer.entries.isEmpty()) return
        syncDue = true
        if (hasNewMembers && remainingFollowUps.getAndDecrement() > 0) {
            exchange(address, request(answer.sender.member)) {}
        }
    }

    private fun baseMessage(receiver: MemberIdentifier?): GossipMessage =
        GossipMessage(ownEntry.current(), receiver, configurationVersion())

    private companion object {
        const val FOLLOW_UPS_PER_PERIOD = 8
    }
}
