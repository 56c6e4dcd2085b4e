package plantainturn.relay.peer

/**
 * Distributes what nodes tell each other, each item to each node once. Old items are dropped.
 *
 * @param capacity how many items are retained; a joining node receives at most as many
 */
internal class Announcements<T>(
    private val capacity: Int,
) {
    private val recent = ArrayDeque<T>()

    /** The number of items ever added. */
    var totalAdded: Long = 0
        private set

    fun add(items: List<T>) {
        recent += items
        totalAdded += items.size
        while (recent.size > capacity) recent.removeFirst()
    }

    /** Returns the newest [maximum] items after the first [known] ones, as far as they are retained. */
    fun since(
        known: Long,
        maximum: Int = capacity,
    ): List<T> {
        val missing = (totalAdded - known).coerceIn(0, minOf(recent.size, maximum).toLong()).toInt()
        return recent.subList(recent.size - missing, recent.size).toList()
    }
}
