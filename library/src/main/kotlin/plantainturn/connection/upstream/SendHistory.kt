package plantainturn.connection.upstream

import plantainturn.process.time.Moment

/**
 * The latest begins and ends of attempts at one upstream, in a ring of fixed size.
 *
 * Not safe for use by several threads.
 */
internal class SendHistory {
    private val moments = LongArray(CAPACITY)
    private val changes = ByteArray(CAPACITY)
    private var next = 0
    private var size = 0

    fun begun(now: Moment): Unit = add(now, BEGUN)

    fun ended(now: Moment): Unit = add(now, ENDED)

    /** Returns begins less ends after [since]; those that the ring has forgotten are left out. */
    fun netSince(since: Moment): Int {
        var net = 0
        for (back in 1..size) {
            val index = (next - back).mod(CAPACITY)
            if (moments[index] <= since.nanoseconds) return net
            net += changes[index]
        }
        return net
    }

    private fun add(
        now: Moment,
        change: Byte,
    ) {
        moments[next] = now.nanoseconds
        changes[next] = change
        next = (next + 1) % CAPACITY
        size = minOf(size + 1, CAPACITY)
    }

    private companion object {
        const val CAPACITY = 128
        const val BEGUN: Byte = 1
        const val ENDED: Byte = -1
    }
}
