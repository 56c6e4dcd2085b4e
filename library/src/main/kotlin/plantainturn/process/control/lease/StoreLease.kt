package plantainturn.process.control.lease

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.log.LogOffset
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.RecordStore
import plantainturn.connection.store.RetryBackoff
import plantainturn.connection.store.StoreAppendResult
import plantainturn.connection.store.StoreCallKind
import plantainturn.connection.store.StoreEra
import plantainturn.connection.store.StorePosition
import plantainturn.connection.store.StoreReadResult
import plantainturn.connection.store.TopicName
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import kotlin.random.Random
import kotlin.time.Duration

/**
 * A lease on a store with conditional appends.
 *
 * Each append names the end of the topic that its writer has seen, so of two concurrent writers one is refused. The
 * fence is derived from the position of the holder's first record and grows over restores of the store, too. The
 * holder counts its term from when it sent a renewal. A contender counts from when it read the last record and waits
 * longer than any term. The wall clock decides neither; a jump of [wallClock] relative to the monotonic clock only
 * shows that this VM was suspended. The lease then permits no orders until a renewal that was sent afterwards is
 * confirmed.
 *
 * When the store has come back from a copy, its records prove no grant of an earlier era: the holder claims anew, under
 * a higher fence, and a contender waits as if the last holder had just renewed, whatever the copy says.
 *
 * Confined to the thread of the node's event loop.
 *
 * @param address the address at which peers reach this node, written to the holder's record
 * @param wallClock returns the time in Unix milliseconds
 */
public class StoreLease(
    private val store: RecordStore,
    private val holder: HolderIdentifier,
    private val address: String,
    private val timer: TimerService,
    private val wallClock: () -> Long,
    private val settings: StoreLeaseSettings = StoreLeaseSettings(),
) {
    private val logger = LogManager.getLogger(StoreLease::class.java)
    private var observed: Observation? = null
    private var held: Held? = null
    private var renewalFailedAt: Moment? = null
    private var callInProgress = false
    private val random = Random(holder.value.hashCode())
    private val readBackoff = RetryBackoff(settings.readRetryDelay, random)
    private var readFrom = Moment.ORIGIN
    private var stopping = false

    /** The holder's record as this node last read or wrote it, null if it has read none. */
    public var holderRecord: HolderRecord? = null
        private set

    /** The fence under which this node holds the lease, or null if it does not hold it. */
    public val fence: FenceNumber?
        get() = held?.fence

    /** Whether the last observed holder has released the lease. */
    public val isFree: Boolean
        get() = holderRecord?.holder == NO_HOLDER

    /** Whether no other node can hold the lease now. Orders may be permitted for longer, see [permitsOrders]. */
    public val isExclusive: Boolean
        get() = held?.let { timer.now() < it.validUntil && !wasSuspended(it) } ?: false

    /** Whether this node is the first holder ever: its record is the first in a store that was never restored. */
    public val isFirstHolder: Boolean
        get() = held?.fence == fenceOf(StorePosition.FIRST)

    /** Returns whether this node may issue orders now. */
    public fun permitsOrders(): Boolean {
        val current = held ?: return false
        val now = timer.now()
        val permitted = now < current.validUntil || mayContinueInOutage(current, now)
        return permitted && now >= current.ordersFrom && !wasSuspended(current)
    }

    /** While the store does not answer, there may be a successor, but then engines refuse this node's orders. */
    private fun mayContinueInOutage(
        current: Held,
        now: Moment,
    ): Boolean = isRenewalUnanswered(current) && now < current.validUntil + settings.outageTolerance

    private fun isRenewalUnanswered(current: Held): Boolean = renewalFailedAt?.let { it > current.renewedAt } ?: false

    /** Renews the lease if it is held and a renewal is due; if it is not held, contends for it if [mayContend]. */
    public fun step(mayContend: Boolean) {
        if (callInProgress) return
        val current = held
        when {
            current != null -> renewWhenDue(current)
            stopping || !mayContend -> Unit
            else -> contend()
        }
    }

    /** Reads the holder's record from the store, unless this node holds the lease or a call is in progress. */
    public fun readHolder() {
        if (!callInProgress && held == null && timer.now() >= readFrom) read(StoreCallKind.HOLDER_LOOK_UP)
    }

    /** Lets a contender whose calls failed read again soon, as the store answers other calls again. */
    public fun onStoreAnswers() {
        readFrom = minOf(readFrom, timer.now() + settings.claimSpread * random.nextDouble())
    }

    /**
     * Releases the lease, if it is held, and stops contending for it.
     *
     * While the store does not answer, no other node could take over, so the lease is kept until the store answers.
     */
    public fun release() {
        stopping = true
        val current = held ?: return
        if (!callInProgress && !isRenewalUnanswered(current)) releaseNow(current)
    }

    /** Releases the lease, if it is held and the store answers; the node may contend for it again. */
    public fun handOver() {
        val current = held ?: return
        if (!callInProgress && !isRenewalUnanswered(current)) releaseNow(current)
    }

    private fun releaseNow(current: Held) {
        lose("released")
        val record = HolderRecord(NO_HOLDER, "", current.fence.value)
        append(record, current.end, StoreCallKind.LEASE_RENEWAL) {
            logger.info("event=lease-release fence={} result={}", current.fence, it)
        }
    }

    /** Gives up the lease if an engine has refused this node's fence because it has seen [later]. */
    public fun observeLaterFence(later: FenceNumber) {
        val current = held ?: return
        if (later > current.fence) lose("an engine has seen fence $later")
    }

    private fun wasSuspended(current: Held): Boolean {
        val drift = clockDifference() - current.clockDifference
        return drift > settings.suspensionTolerance.inWholeMilliseconds ||
            drift < -settings.suspensionTolerance.inWholeMilliseconds
    }

    private fun clockDifference(): Long = wallClock() - timer.now().nanoseconds / NANOSECONDS_PER_MILLISECOND

    private fun renewWhenDue(current: Held) {
        val now = timer.now()
        val suspended = wasSuspended(current)
        val retryDue = renewalFailedAt?.let { now >= it + settings.renewalRetryDelay } ?: true
        val due = now >= current.renewedAt + settings.renewalPeriod || suspended
        if (!due || !retryDue) return
        val difference = clockDifference()
        val record = HolderRecord(holder.value, address, current.fence.value)
        append(record, current.end, StoreCallKind.LEASE_RENEWAL) { result -> renewed(result, now, difference) }
    }

    private fun renewed(
        result: StoreAppendResult,
        sentAt: Moment,
        difference: Long,
    ) {
        val current = held ?: return
        when (result) {
            is StoreAppendResult.Appended -> {
                val renewed =
                    current.copy(
                        end = result.position.next(),
                        renewedAt = sentAt,
                        validUntil = sentAt + settings.term,
                        clockDifference = difference,
                    )
                held = renewed
                if (stopping) releaseNow(renewed)
            }
            is StoreAppendResult.Conflict -> resolveConflict(current)
            is StoreAppendResult.Refused, is StoreAppendResult.Unknown -> {
                renewalFailedAt = timer.now()
                logger.warn("event=lease-renewal-failed fence={} result={}", current.fence, result)
                val end = current.validUntil + settings.contenderWait + settings.outageTolerance
                if (timer.now() > end) lose("not renewed for too long")
            }
        }
    }

    /**
     * Reads the record that made a renewal fail. It may be an earlier renewal of this node whose answer was lost.
     *
     * Such a record only tells where to append next. It does not extend the term: a contender may have read it long ago
     * and be about to claim.
     */
    private fun resolveConflict(current: Held) {
        callInProgress = true
        store.forKind(StoreCallKind.LEASE_RENEWAL).readNewest(TOPIC) { result ->
            callInProgress = false
            if (result is StoreReadResult.Records && held === current) {
                val newest = newest(result)
                if (result.next.era > current.end.era) {
                    reclaim(current, result, newest)
                } else if (newest?.holder == holder.value && newest.fence == current.fence.value) {
                    held = current.copy(end = result.next)
                } else {
                    lose("held by ${newest?.holder}")
                    observe(result)
                }
            }
        }
    }

    /**
     * Claims the lease again after a restore, unless another node has done so in the new era.
     *
     * Within the term no other node can have been granted the lease: a contender waits longer, since it read this
     * holder's last renewal or, after the restore, since its first reading of the new era. After the term, another one
     * may have been granted it by a record that the restore lost.
     */
    private fun reclaim(
        current: Held,
        result: StoreReadResult.Records,
        newest: HolderRecord?,
    ) {
        val successor = newest?.takeIf { it.holder != holder.value && isOfEra(it, result.next) }
        if (stopping || successor != null) {
            lose("the store was restored, held by ${successor?.holder}")
            observe(result)
            return
        }
        val now = timer.now()
        val refusedByEngines = settings.outageTolerance.isPositive()
        val ordersFrom =
            if (isExclusive || refusedByEngines) current.ordersFrom else now + settings.term + settings.handOverPause
        claim(result.next, newest, ordersFrom)
    }

    private fun contend() {
        val seen = observed
        if (timer.now() < readFrom) return
        when {
            seen == null || timer.now() >= seen.mayClaimAt(settings) && !seen.confirmed ->
                read(StoreCallKind.LEASE_CLAIM)
            timer.now() >= seen.mayClaimAt(settings) -> claim(seen.end, seen.record, seen.ordersFrom(settings))
        }
    }

    private fun read(kind: StoreCallKind) {
        callInProgress = true
        store.forKind(kind).readNewest(TOPIC) { result ->
            callInProgress = false
            if (result is StoreReadResult.Records) {
                readBackoff.reset()
                observe(result)
            } else {
                delayReads()
            }
        }
    }

    /** A store that is away must not be asked at each [step]: each call is billed, also when it is refused. */
    private fun delayReads() {
        readFrom = timer.now() + readBackoff.onFailure(settings.longestReadRetryDelay)
    }

    private fun observe(result: StoreReadResult.Records) {
        val before = observed
        if (before != null && result.next.era < before.end.era) return
        val record = newest(result)
        holderRecord = record
        observed =
            if (before != null && before.end == result.next) {
                before.copy(confirmed = true)
            } else {
                Observation(
                    result.next,
                    record,
                    timer.now(),
                    confirmed = record == null,
                    // Only one process can listen at an address, so the previous holder there has ended.
                    previousHolderEnded = record != null && record.address == address && record.holder != holder.value,
                    claimDelay = settings.claimSpread * random.nextDouble(),
                    isCertain = if (record == null) result.next.era == StoreEra.FIRST else isOfEra(record, result.next),
                )
            }
    }

    /** Whether [record] was written in the era of [end], and is not from a copy that may lack later ones. */
    private fun isOfEra(
        record: HolderRecord,
        end: StorePosition,
    ): Boolean = FenceNumber(record.fence) >= fenceOf(end.copy(offset = LogOffset.FIRST))

    private fun claim(
        end: StorePosition,
        previous: HolderRecord?,
        ordersFrom: Moment,
    ) {
        val sentAt = timer.now()
        val difference = clockDifference()
        val record = HolderRecord(holder.value, address, fenceOf(end).value)
        append(record, end, StoreCallKind.LEASE_CLAIM) { result ->
            when (result) {
                is StoreAppendResult.Appended ->
                    granted(result.position, previous, maxOf(sentAt, ordersFrom), sentAt, difference)
                is StoreAppendResult.Conflict -> {
                    lose("another node wrote after the restore")
                    observed = null
                }
                is StoreAppendResult.Unknown -> {
                    renewalFailedAt = timer.now()
                    observed = null
                    delayReads()
                }
                is StoreAppendResult.Refused -> {
                    renewalFailedAt = timer.now()
                    delayReads()
                    logger.debug("event=lease-claim-refused result={}", result)
                }
            }
        }
    }

    private fun granted(
        position: StorePosition,
        previous: HolderRecord?,
        ordersFrom: Moment,
        sentAt: Moment,
        difference: Long,
    ) {
        observed = null
        val fence = fenceOf(position)
        held =
            Held(
                fence = fence,
                end = position.next(),
                renewedAt = sentAt,
                validUntil = sentAt + settings.term,
                ordersFrom = ordersFrom,
                clockDifference = difference,
            )
        holderRecord = HolderRecord(holder.value, address, fence.value)
        logger.info(
            "event=lease-granted fence={} position={} previous={} ordersIn={}",
            fence,
            position,
            previous,
            ordersFrom - sentAt,
        )
    }

    private fun append(
        record: HolderRecord,
        at: StorePosition,
        kind: StoreCallKind,
        done: (StoreAppendResult) -> Unit,
    ) {
        callInProgress = true
        store.forKind(kind).append(TOPIC, KEY, Json.encodeToString(record).toByteArray(), at) { result ->
            callInProgress = false
            done(result)
        }
    }

    private fun newest(result: StoreReadResult.Records): HolderRecord? =
        result.records.firstOrNull { it.key == KEY }?.let(::decode)

    private fun decode(record: KeyedRecord): HolderRecord? {
        val text = record.value?.decodeToString() ?: return null
        return try {
            Json.decodeFromString(HolderRecord.serializer(), text)
        } catch (exception: SerializationException) {
            logger.error("event=lease-record-unreadable offset={} text={}", record.offset, text, exception)
            HolderRecord(UNREADABLE, "", record.offset.value)
        }
    }

    private fun lose(reason: String) {
        val current = held ?: return
        held = null
        observed = null
        logger.info("event=lease-lost fence={} reason=\"{}\"", current.fence, reason)
    }

    /** The record in the store that names the holder; [holder] is empty after a release. */
    @Serializable
    public data class HolderRecord(
        val holder: String,
        val address: String,
        val fence: Long,
    )

    private data class Held(
        val fence: FenceNumber,
        val end: StorePosition,
        val renewedAt: Moment,
        val validUntil: Moment,
        val ordersFrom: Moment,
        val clockDifference: Long,
    )

    private data class Observation(
        val end: StorePosition,
        val record: HolderRecord?,
        val at: Moment,
        val confirmed: Boolean,
        val previousHolderEnded: Boolean,
        val claimDelay: Duration,
        val isCertain: Boolean,
    ) {
        fun mayClaimAt(settings: StoreLeaseSettings): Moment =
            if (isCertain && (isFree || previousHolderEnded)) at else at + settings.contenderWait + claimDelay

        /**
         * Returns when orders may start: immediately if no holder preceded or its process has ended, otherwise at least
         * [StoreLeaseSettings.handOverPause] after its last order.
         */
        fun ordersFrom(settings: StoreLeaseSettings): Moment =
            when {
                !isCertain -> at + settings.term + settings.handOverPause
                record == null || previousHolderEnded -> at
                isFree -> at + settings.handOverPause
                else -> at + settings.term + settings.handOverPause
            }

        private val isFree: Boolean
            get() = record == null || record.holder == NO_HOLDER
    }

    private companion object {
        val TOPIC = TopicName("control", keyed = true)
        const val KEY = "issuer"
        const val NO_HOLDER = ""
        const val UNREADABLE = "?"
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000

        /** More than the renewals of many years; with it, fences of thousands of eras are exact in any JSON number. */
        const val FENCES_PER_ERA = 1L shl 32

        /** Returns the fence of a holder whose first record stands at [position]; it grows with each later position. */
        fun fenceOf(position: StorePosition): FenceNumber =
            FenceNumber((position.era.number - StoreEra.FIRST.number) * FENCES_PER_ERA + position.offset.value)
    }
}
