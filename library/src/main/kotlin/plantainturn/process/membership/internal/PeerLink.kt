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
 * Exchanges messages with peers and tracks the key up to which this node has synchronised.
 *
 * @param timeout the time within which a peer must answer
 * @param onMessage handles the answer of a peer
 * @param isHeld returns whether this node holds an entry with the key
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

    /** Whether the next [request] asks for the entries that this node lacks. */
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

    /** Returns a message with updates, and with a synchronisation request if one is due. */
    fun request(receiver: MemberIdentifier?): GossipMessage {
        val from = if (syncDue) syncFrom.get() else null
        syncDue = false
        return composer.request(baseMessage(receiver), from)
    }

    /** Returns a message with updates. */
    fun updates(receiver: MemberIdentifier?): GossipMessage = composer.request(baseMessage(receiver), null)

    /** Returns the answer to [message]. */
    fun answerTo(
        message: GossipMessage,
        probed: Boolean?,
    ): GossipMessage = composer.answer(baseMessage(message.sender.member).copy(probed = probed), message.sync)

    /** Sends [message] and handles the answer before [onResult] is called. */
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
     * Continues with the next range of keys as long as the peer has entries to send: in the next period, or immediately
     * while its answers contain unknown members, so that a joining node learns of the others quickly.
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
