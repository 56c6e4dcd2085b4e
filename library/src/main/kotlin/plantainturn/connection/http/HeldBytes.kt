package plantainturn.connection.http

import plantainturn.process.time.Moment
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds the memory that this process uses for messages that are not complete, of callers, peers and servers together.
 *
 * Load pattern: many connections hold incomplete messages at the same time, each below the limits of a single message:
 * bodies that stop short of their end, heads of thousands of empty fields, answers without end, answers that nobody
 * reads. The measures follow each other as memory runs short:
 *
 * 1. Beyond three quarters of [limit], holders of more than their part may not grow ([mayGrow]). Small messages use the
 *    last quarter.
 * 2. If that lasts, holders are given up until a half of [limit] is free ([relieve]).
 * 3. Beyond [limit], holders are given up at once.
 *
 * Holders without progress are given up first, and among these the largest. Confined to one thread.
 *
 * @param limit bytes of memory
 */
public class HeldBytes(
    public val limit: Long = Runtime.getRuntime().maxMemory() / HEAP_PARTS,
) {
    /** A message that is not complete. Its string representation names the other side. */
    public fun interface Holder {
        /** Gives up the message and releases its memory. */
        public fun giveUp(reason: String)

        /** What would be lost with the message. */
        public val standing: HolderStanding
            get() = HolderStanding.INCOMPLETE
    }

    private val holders = HashMap<Holder, Long>()
    private var scarceSince: Moment? = null

    /** The bytes that all holders use. */
    public var total: Long = 0L
        private set

    /** The number of holders that were given up so far. */
    public var givenUp: Long = 0L
        private set

    private val isScarce: Boolean
        get() = total > limit - limit / RESERVE_PARTS

    /** Notes that [holder] uses [bytes] of memory from now on. Gives up holders if all together use too much. */
    public fun update(
        holder: Holder,
        bytes: Long,
    ) {
        total += bytes - (if (bytes > 0) holders.put(holder, bytes) else holders.remove(holder)).orZero()
        giveUpDownTo(limit)
    }

    /** Returns whether more bytes of [holder] may be taken in. */
    public fun mayGrow(holder: Holder): Boolean {
        val held = holders[holder].orZero()
        if (held > limit / SINGLE_HOLDER_PARTS) return false
        return !isScarce || held <= minOf(SMALL_BYTES, limit / SINGLE_HOLDER_PARTS)
    }

    /** Gives up holders if memory has been scarce for a while at [now]. To be called several times a second. */
    public fun relieve(now: Moment) {
        if (!isScarce) scarceSince = null
        val since = if (isScarce) scarceSince ?: now.also { scarceSince = it } else return
        if (now - since < SCARCITY_TOLERANCE) return
        scarceSince = null
        giveUpDownTo(limit / 2)
    }

    /** Returns the [count] holders of most bytes, the largest first. */
    public fun largest(count: Int): List<Pair<Holder, Long>> =
        holders.entries
            .sortedByDescending { it.value }
            .take(count)
            .map { it.key to it.value }

    private fun giveUpDownTo(bytes: Long) {
        while (total > bytes) {
            val candidates = holders.entries.filter { it.key.standing != HolderStanding.IN_USE }
            val (holder, held) = candidates.minWithOrNull(ORDER) ?: return
            holders.remove(holder)
            total -= held
            givenUp += 1
            holder.giveUp("the incomplete messages of all connections hold more than $bytes bytes")
        }
    }

    private fun Long?.orZero(): Long = this ?: 0L

    private companion object {
        /** Complete answers, requests and everything else need the rest. */
        const val HEAP_PARTS = 4

        /** The part of the limit that is kept for small messages. */
        const val RESERVE_PARTS = 4

        /** The part of the limit that a single holder may use; above the largest body where callers send bodies. */
        const val SINGLE_HOLDER_PARTS = 3

        /** Above the usual request with its head. */
        const val SMALL_BYTES = 32_768L

        /** Long enough for sound callers' bodies, which arrive within a second, to end by themselves. */
        val SCARCITY_TOLERANCE = 1.seconds

        val ORDER =
            compareBy<Map.Entry<Holder, Long>> { it.key.standing }
                .thenByDescending { it.value }
    }
}
