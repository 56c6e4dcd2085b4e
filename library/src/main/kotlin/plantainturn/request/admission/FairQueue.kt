package plantainturn.request.admission

/**
 * A queue that is fair among keys, such as teams or client accounts, by self-clocked fair queueing.
 *
 * Each key has a finish tag: the virtual time at which its next entry is served. The key with the lowest tag is next;
 * each entry that is served advances its key's tag by the inverse of the key's share. Virtual time is the tag of the
 * latest entry served, and a key's tag starts from there, so that a key accumulates no credit while it is idle or while
 * its entries can't be served. Keys without entries have no state. With equal shares this is round-robin. Not
 * thread-safe.
 *
 * @param K what the queue is fair among
 * @param T the entries, which are compared by equality
 */
public class FairQueue<K, T : Any> {
    private val lanes = LinkedHashMap<K, Lane<T>>()
    private var virtualTime = 0.0

    /** The number of entries. */
    public var size: Int = 0
        private set

    /** The number of entries by key, without keys that have none. */
    public val sizes: Map<K, Int>
        get() = lanes.mapValues { it.value.entries.size }

    /** All entries, by key and within a key in their order. */
    public val entries: List<T>
        get() = lanes.values.flatMap { it.entries }

    /** Returns the number of entries of [key]. */
    public fun sizeOf(key: K): Int = lanes[key]?.entries?.size ?: 0

    /**
     * Adds [entry] to those of [key].
     *
     * @param share weight of the key against other keys; values below 1 count as 1
     * @param atFront whether the entry goes ahead of the key's other entries
     */
    public fun add(
        key: K,
        entry: T,
        share: Int = 1,
        atFront: Boolean = false,
    ) {
        val weight = share.coerceAtLeast(1)
        val lane = lanes.getOrPut(key) { Lane(Tag(virtualTime + 1.0 / weight, weight)) }
        lane.tag.share = weight
        if (atFront) lane.entries.addFirst(entry) else lane.entries.addLast(entry)
        size += 1
    }

    /** Returns the next entry without removing it, or null if there is none. */
    public fun peek(): T? = next()?.value?.entries?.first()

    /** Removes the entry that [peek] returns, and counts it as served. */
    public fun removeNext() {
        val (key, lane) = next() ?: return
        serve(key, lane.entries.first())
    }

    /** Removes [entry] of [key] and counts it as served. Returns false if it was not in the queue. */
    public fun serve(
        key: K,
        entry: T,
    ): Boolean {
        val tag = lanes[key]?.tag ?: return false
        if (!remove(key, entry)) return false
        virtualTime = if (size == 0) 0.0 else tag.advance(virtualTime)
        return true
    }

    /** Removes [entry] of [key] without counting it as served. Returns false if it was not in the queue. */
    public fun remove(
        key: K,
        entry: T,
    ): Boolean {
        val lane = lanes[key] ?: return false
        if (!lane.entries.remove(entry)) return false
        size -= 1
        if (lane.entries.isEmpty()) lanes.remove(key)
        if (size == 0) virtualTime = 0.0
        return true
    }

    /**
     * Offers each present entry once, in fair order among keys and by [order] within a key.
     *
     * An entry that can't be served now, as what it waits for is missing, does not use its key's turn. Entries may be
     * added, served and removed meanwhile: those that are added are not offered, and those that are removed still are.
     *
     * @param order order within a key; equal entries keep the order of the queue
     * @param offer tries to serve the entry and returns whether that used its key's turn
     */
    public fun offerEach(
        order: Comparator<in T>,
        offer: (T) -> Boolean,
    ) {
        val cursors = lanes.values.mapTo(ArrayList()) { Cursor(it.tag.copy(), it.entries.sortedWith(order)) }
        var time = virtualTime
        while (cursors.isNotEmpty()) {
            val cursor = cursors.minBy { it.tag.finish }
            if (offer(cursor.next())) time = cursor.tag.advance(time)
            if (!cursor.hasNext()) cursors.remove(cursor)
        }
    }

    private fun next(): Map.Entry<K, Lane<T>>? = lanes.entries.minByOrNull { it.value.tag.finish }

    /** The finish tag of a key's next entry. */
    private class Tag(
        var finish: Double,
        var share: Int,
    ) {
        /** Counts one entry as served, and returns the virtual time that follows [virtualTime]. */
        fun advance(virtualTime: Double): Double {
            val time = maxOf(virtualTime, finish)
            finish = time + 1.0 / share
            return time
        }

        fun copy() = Tag(finish, share)
    }

    private class Lane<T>(
        val tag: Tag,
    ) {
        val entries = ArrayDeque<T>()
    }

    private class Cursor<T>(
        val tag: Tag,
        entries: List<T>,
    ) : Iterator<T> by entries.iterator()
}
