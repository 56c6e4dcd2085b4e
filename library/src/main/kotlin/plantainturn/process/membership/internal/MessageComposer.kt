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
    private val maximumMessageBytes: Int,
) {
    /** Bytes that one value may take. */
    val maximumValueBytes: Int = maximumMessageBytes - ENVELOPE_BYTES

    /** Returns [base] with news, and with a request for what this node lacks if [syncFrom] is not null. */
    fun request(
        base: GossipMessage,
        syncFrom: String?,
    ): GossipMessage {
        var remaining = remainingBytes(base)
        val sync = syncFrom?.let { table.syncRequest(it, remaining / 2 - SYNC_FRAME_BYTES) }
        if (sync != null) remaining -= GossipJson.bytesOf(base.copy(sync = sync)) - GossipJson.bytesOf(base)
        return withUpdates(base.copy(sync = sync), remaining)
    }

    /** Returns [base] with the answer to [request], if there is one, and with news. */
    fun answer(
        base: GossipMessage,
        request: SyncRequest?,
    ): GossipMessage {
        val remaining = remainingBytes(base)
        if (request == null) return withUpdates(base, remaining)
        val answer = table.answerSync(request, remaining - SYNC_FRAME_BYTES, timer.now())
        val synced = base.copy(entries = answer.entries.toPersistentList(), syncedTo = answer.syncedTo)
        return withUpdates(synced, remainingBytes(synced))
    }

    private fun withUpdates(
        base: GossipMessage,
        bytes: Int,
    ): GossipMessage {
        val suspicion = suspicionAbout(base.receiver)
        val suspicionBytes = suspicion.sumOf { GossipJson.bytesOf(it) + 1 }
        val present = base.entries.map { it.key }.toSet()
        val updates = table.nextToSend(bytes - suspicionBytes, timer.now()).filterNot { it.key in present }
        return base.copy(entries = (suspicion + base.entries + updates).distinct().toPersistentList())
    }

    /** The receiver has to hear what it is to contradict. */
    private fun suspicionAbout(receiver: MemberIdentifier?): List<GossipEntry> {
        val entry = receiver?.let { table.get(GossipEntry.keyOf(it)) } as? GossipEntry.Membership
        return listOfNotNull(entry?.takeIf { it.state != MemberState.ALIVE })
    }

    private fun remainingBytes(base: GossipMessage): Int = maximumMessageBytes - GossipJson.bytesOf(base) - FRAME_BYTES

    private companion object {
        const val FRAME_BYTES = 24
        const val SYNC_FRAME_BYTES = 160
        const val ENVELOPE_BYTES = 400
    }
}
