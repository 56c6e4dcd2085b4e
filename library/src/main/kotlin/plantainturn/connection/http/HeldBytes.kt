package plantainturn.connection.http

/**
 * Bounds the memory that this process uses for answers of servers that are not complete.
 *
 * Load pattern: servers in trouble send bytes without end on many connections at the same time, each below the limits
 * of a single answer. When all together hold more than [limit], the largest ones are given up.
 *
 * Confined to one thread.
 *
 * @param limit bytes of memory
 */
public class HeldBytes(
    private val limit: Long = Runtime.getRuntime().maxMemory() / HEAP_PARTS,
) {
    /** An answer that is not complete. */
    public fun interface Holder {
        /** Gives up the answer and releases its memory. */
        public fun giveUp(reason: String)
    }

    private val holders = HashMap<Holder, Long>()
    private var total = 0L

    /** Notes that [holder] uses [bytes] of memory from now on. Gives up the largest holders if that is too much. */
    public fun update(
        holder: Holder,
        bytes: Long,
    ) {
        total += bytes - (if (bytes > 0) holders.put(holder, bytes) else holders.remove(holder)).orZero()
        while (total > limit) {
            val (largest, held) = holders.maxBy { it.value }
            holders.remove(largest)
            total -= held
            largest.giveUp("the incomplete answers of all servers hold more than $limit bytes")
        }
    }

    private fun Long?.orZero(): Long = this ?: 0L

    private companion object {
        /** Complete answers, requests and everything else need the rest. */
        const val HEAP_PARTS = 8
    }
}
