package plantainturn.process.control.lease

import kotlinx.collections.immutable.toPersistentList
import org.apache.logging.log4j.LogManager
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.OrderIdentifier
import plantainturn.connection.log.AppendResult
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.LogRecord
import plantainturn.connection.log.LogService
import plantainturn.connection.log.RecordIdentifier
import plantainturn.connection.log.StoredRecord
import plantainturn.connection.log.StreamName
import plantainturn.process.control.lease.internal.ControlCodec
import plantainturn.process.control.lease.internal.FenceGuard
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import kotlin.time.Duration

/**
 * Claims, renews and releases the lease of one shard on behalf of one node.
 *
 * [step] and the methods that append block on the log and must be called by one thread at a time; [lease], [state] and
 * [status] may be read from any thread. The wall clock is not used: a candidate counts from when it read the last
 * change of the lease, the holder from when it sent the renewal that it has read back.
 *
 * @param rank returns how many other candidates precede this node after the given fence; a hint on which safety does
 * not depend
 */
public class LeaseKeeper(
    private val log: LogService,
    shard: String,
    private val holder: HolderIdentifier,
    private val timer: TimerService,
    private val settings: LeaseSettings = LeaseSettings(),
    private val rank: (FenceNumber) -> Int = { 0 },
) {
    private val logger = LogManager.getLogger(LeaseKeeper::class.java)
    private val stream = StreamName.control(shard)
    private val follower = ControlFollower(log, stream, ::noteLeaseChange, ::observe)
    private val renewalsSent = LinkedHashMap<RecordIdentifier, Moment>()
    private var claimSent: SentClaim? = null
    private var lastLeaseChangeReadAt: Moment = timer.now()
    private var lastRenewalSentAt: Moment? = null
    private var nextRecordNumber = 0L
    private var gapFoundAt: Moment? = null
    private var snapshotDue = false
    private val guard = FenceGuard()

    @Volatile
    private var stopping = false

    /** The lease that this node holds as far as it has read the stream, or null. */
    public val lease: Lease?
        get() = guard.lease

    /** The state of the stream as far as it has been read. */
    @Volatile
    public var state: ControlState = ControlState.EMPTY
        private set

    /** Whether this node is up to date with the stream. */
    @Volatile
    public var status: ControlStatus = ControlStatus.BEHIND
        private set

    /** Reads the stream to its end, and then renews the lease or claims it if that is due. */
    public fun step() {
        catchUp()
        when (status) {
            ControlStatus.FOLLOWING -> renewOrClaim()
            ControlStatus.GAP -> claimAfterGap()
            ControlStatus.BEHIND, ControlStatus.UNAVAILABLE, ControlStatus.UNKNOWN_RULE -> Unit
        }
    }

    /** Returns whether an order may be sent now under [fence], given whether the upstream refuses old fences. */
    public fun permits(
        fence: FenceNumber,
        refusesOldFences: Boolean,
    ): Boolean = guard.permits(fence, refusesOldFences, timer.now())

    /**
     * Announces [orders] under [held] and returns whether the announcement was read back and took effect.
     *
     * If it returns false, the orders must not be sent, although the announcement may still take effect later.
     */
    public fun announce(
        held: Lease,
        orders: List<IntendedOrder>,
    ): Boolean {
        append(ControlEntry.Intent(held.fence, orders.toPersistentList()))
        catchUp()
        val open = state.intents.mapTo(HashSet()) { it.order.identifier }
        return lease?.fence == held.fence && orders.all { it.order.identifier in open }
    }

    /** Records that [orders] have ended. The caller repeats this until they are no longer in [state]. */
    public fun recordOutcome(
        held: Lease,
        orders: List<OrderIdentifier>,
    ) {
        append(ControlEntry.Outcome(held.fence, orders.toPersistentList()))
        catchUp()
    }

    /**
     * Records that an upstream has reported [fence].
     *
     * If it is higher than this node's fence, no order is permitted until a read of the log has shown whether a
     * successor holds it or no lease of this stream has it.
     */
    public fun observeFence(fence: FenceNumber) {
        guard.observeFence(fence)
    }

    /** Releases the lease, if held, and stops claiming it. */
    public fun release() {
        stopping = true
        val held = lease ?: return
        lose("released")
        append(ControlEntry.Release(held.fence))
        catchUp()
    }

    private fun catchUp() {
        val unverified = guard.unverifiedFence
        follower.readToEnd()
        state = follower.state
        status = follower.status
        if (status != ControlStatus.GAP) gapFoundAt = null
        val held = lease ?: return
        if (state.fence != held.fence) lose("fence ${state.fence} was granted")
        if (status == ControlStatus.FOLLOWING && unverified != null) guard.dismiss(unverified)
    }

    private fun renewOrClaim() {
        val held = lease
        if (held != null) {
            renewWhenDue(held)
        } else if (!stopping && mayClaim()) {
            claim(oldestReadable = null)
        }
    }

    /** Claims the lease if the old records are lost and nothing has affected it for [IDLE_TERMS] terms and margins. */
    private fun claimAfterGap() {
        val idleFrom = follower.idleFrom
        if (idleFrom == null) gapFoundAt = null
        if (idleFrom == null || stopping) return
        val foundAt = gapFoundAt ?: timer.now().also { gapFoundAt = it }
        val wait = (settings.term + settings.driftMargin) * IDLE_TERMS + settings.rankDelay * rank(state.fence)
        if (timer.now() >= foundAt + wait) claim(idleFrom)
    }

    private fun observe(
        stored: StoredRecord,
        entry: ControlEntry,
        verdict: LeaseVerdict,
    ) {
        if (verdict == LeaseVerdict.IGNORED) return
        when (entry) {
            is ControlEntry.Claim -> observeGrant(stored)
            is ControlEntry.Renewal -> observeRenewal(stored, entry)
            is ControlEntry.Release -> noteLeaseChange()
            else -> Unit
        }
    }

    private fun noteLeaseChange() {
        lastLeaseChangeReadAt = timer.now()
    }

    private fun observeGrant(stored: StoredRecord) {
        noteLeaseChange()
        val sent = claimSent?.takeIf { it.identifier == stored.record.identifier } ?: return
        val fence = FenceNumber(stored.offset.value)
        guard.grant(Lease(fence, lastLeaseChangeReadAt, sent.sentAt + settings.term))
        lastRenewalSentAt = sent.sentAt
        claimSent = null
        snapshotDue = true
        renewalsSent.clear()
        logger.info("Acquired the lease of {} with fence {}", stream, fence)
    }

    private fun observeRenewal(
        stored: StoredRecord,
        renewal: ControlEntry.Renewal,
    ) {
        noteLeaseChange()
        val sentAt = renewalsSent.remove(stored.record.identifier) ?: return
        guard.extend(renewal.fence, sentAt + settings.term)
    }

    private fun renewWhenDue(held: Lease) {
        val now = timer.now()
        val last = lastRenewalSentAt
        if (last != null && now < last + settings.renewalPeriod) return
        val identifier = nextIdentifier()
        renewalsSent[identifier] = now
        dropOldRenewals()
        lastRenewalSentAt = now
        append(ControlEntry.Renewal(held.fence), identifier)
        catchUp()
        if (snapshotDue || follower.recordsSinceSnapshot >= settings.snapshotRecords) writeSnapshot()
    }

    private fun writeSnapshot() {
        append(ControlEntry.Snapshot(follower.next, follower.state))
        catchUp()
        snapshotDue = follower.recordsSinceSnapshot > 0
    }

    private fun dropOldRenewals() {
        while (renewalsSent.size > MAXIMUM_TRACKED_RENEWALS) {
            renewalsSent.remove(renewalsSent.keys.first())
        }
    }

    private fun mayClaim(): Boolean = timer.now() >= lastLeaseChangeReadAt + waitBeforeClaim()

    private fun waitBeforeClaim(): Duration {
        val rankWait = settings.rankDelay * rank(state.fence)
        val free = state.holder == null
        return if (free) rankWait else settings.term + settings.driftMargin + rankWait
    }

    private fun claim(oldestReadable: LogOffset?) {
        val sent = pendingOrNewClaim()
        claimSent = sent
        append(
            ControlEntry.Claim(holder, sent.state.fence, sent.state.lastLeaseChange, oldestReadable),
            sent.identifier,
        )
        catchUp()
    }

    /** Returns the pending claim if the state is the same, to repeat it unchanged so that it has only one outcome. */
    private fun pendingOrNewClaim(): SentClaim {
        val sent = claimSent
        if (sent != null && sent.state.lastLeaseChange == state.lastLeaseChange) return sent
        return SentClaim(nextIdentifier(), state, timer.now())
    }

    private fun append(
        entry: ControlEntry,
        identifier: RecordIdentifier = nextIdentifier(),
    ) {
        val result = log.append(stream, LogRecord(identifier, ControlCodec.encode(entry)))
        if (result !is AppendResult.Appended) logger.warn("Append {} to {} returned {}", identifier, stream, result)
    }

    private fun lose(reason: String) {
        val held = lease ?: return
        guard.lose()
        logger.info("Lost the lease of {} with fence {}: {}", stream, held.fence, reason)
    }

    private fun nextIdentifier(): RecordIdentifier = RecordIdentifier("$holder/${nextRecordNumber++}")

    private class SentClaim(
        val identifier: RecordIdentifier,
        val state: ControlState,
        val sentAt: Moment,
    )

    private companion object {
        const val MAXIMUM_TRACKED_RENEWALS = 64
        const val IDLE_TERMS = 2
    }
}
