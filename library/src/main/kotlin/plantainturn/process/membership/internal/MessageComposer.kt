package plantainturn.process.membership.internal

import kotlinx.collections.immutable.toPersistentList
import plantainturn.process.membership.GossipEntry
import plantainturn.process.membership.GossipJson
import plantainturn.process.membership.GossipMessage
import plantainturn.process.membership.MemberIdentifier
import plantainturn.process.membership.MemberState
import plantainturn.process.membership.SyncRequest
import plantainturn.process.time.TimerService

/** Fills messages up to their limit of bytes: what was asked for first, then news. */
internal class MessageComposer(
    private val table: GossipTable,
    private val timer: TimerService,
    private val messageBytes: Int,
) {
    /** Bytes that one value may take. */
    val valueLimit: Int = messageBytes - ENVELOPE_BYTES

    /** Returns [base] with news, and with a request for what this node lacks if [syncFrom] is not null. */
    fun request(
        base: GossipMessage,
        syncFrom: String?,
    ): GossipMessage {
        var left = bytesLeft(base)
        val sync = syncFrom?.let { table.syncRequest(it, left / 2 - SYNC_FRAME_BYTES) }
        if (sync != null) left -= GossipJson.bytesOf(base.copy(sync = sync)) - GossipJson.bytesOf(base)
        return withNews(base.copy(sync = sync), left)
    }

    /** Returns [base] with the answer to [request], if there is one, and with news. */
    fun answer(
        base: GossipMessage,
        request: SyncRequest?,
    ): GossipMessage {
        val left = bytesLeft(base)
        if (request == null) return withNews(base, left)
        val answer = table.answerSync(request, left - SYNC_FRAME_BYTES, timer.now())
        val synced = base.copy(entries = answer.entries.toPersistentList(), syncedTo = answer.syncedTo)
        return withNews(synced, bytesLeft(synced))
    }

    private fun withNews(
        base: GossipMessage,
        bytes: Int,
    ): GossipMessage {
        val doubt = doubtAbout(base.receiver)
        val doubtBytes = doubt.sumOf { GossipJson.bytesOf(it) + 1 }
        val present = base.entries.map { it.key }.toSet()
        val news = table.nextToSend(bytes - doubtBytes, timer.now()).filterNot { it.key in present }
        return base.copy(entries = (doubt + base.entries + news).distinct().toPersistentList())
    }

    /** The receiver has to hear what it is to contradict. */
    private fun doubtAbout(receiver: MemberIdentifier?): List<GossipEntry> {
        val entry = receiver?.let { table.get(GossipEntry.keyOf(it)) } as? GossipEntry.Membership
        return listOfNotNull(entry?.takeIf { it.state != MemberState.ALIVE })
    }

    private fun bytesLeft(base: GossipMessage): Int = messageBytes - GossipJson.bytesOf(base) - FRAME_BYTES

    private companion object {
        const val FRAME_BYTES = 24
        const val SYNC_FRAME_BYTES = 160
        const val ENVELOPE_BYTES = 400
    }
}
