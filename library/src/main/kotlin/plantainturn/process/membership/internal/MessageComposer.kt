package plantainturn.process.membership.internal

import kotlinx.collections.immutable.toPersistentList
import plantainturn.process.membership.GossipEntry
import plantainturn.process.membership.GossipJson
import plantainturn.process.membership.GossipMessage
import plantainturn.process.membership.MemberIdentifier
import plantainturn.process.membership.MemberState
import plantainturn.process.membership.SyncRequest
import plantainturn.process.time.TimerService

/** Fills messages up to their maximum size: first the entries that the peer asked for, then updates. */
internal class MessageComposer(
    private val table: GossipTable,
    private val timer: TimerService,
    private val maximumMessageBytes: Int,
) {
    /** The maximum size of one value, in bytes. */
    val maximumValueBytes: Int = maximumMessageBytes - ENVELOPE_BYTES

    /** Returns [base] with updates, and with a synchronisation request from [syncFrom] on if it is not null. */
    fun request(
        base: GossipMessage,
        syncFrom: String?,
    ): GossipMessage {
        var remaining = remainingBytes(base)
        val sync = syncFrom?.let { table.syncRequest(it, remaining / 2 - SYNC_FRAME_BYTES) }
        if (sync != null) remaining -= GossipJson.bytesOf(base.copy(sync = sync)) - GossipJson.bytesOf(base)
        return withUpdates(base.copy(sync = sync), remaining)
    }

    /** Returns [base] with the answer to [request], if it is not null, and with updates. */
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

    /** Returns the entry of [receiver] if it is not alive, because the receiver must know it to refute it. */
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
