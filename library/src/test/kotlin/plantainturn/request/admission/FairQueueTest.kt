package plantainturn.request.admission

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FairQueueTest {
    private val queue = FairQueue<String, String>()

    /** Guards against an account that is always first in a round, as few can be served in each. */
    @Test
    fun `turns go on where the last round ended`() {
        add("a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3")
        val served = List(4) { round(places = 2) }
        assertEquals(listOf(listOf("a1", "b1"), listOf("c1", "a2"), listOf("b2", "c2"), listOf("a3", "b3")), served)
    }

    /** Guards against requests whose model is not loaded that hold up others, or count as served. */
    @Test
    fun `entries that can't be served use no turn and hold up no others`() {
        add("a1", "a2", "a3", "a4", "b1", "b2")
        assertEquals(listOf("a3", "b1", "a4"), round(places = 3) { it !in setOf("a1", "a2") })
    }

    /** Guards against a run of one account's requests once its model is loaded after a long wait. */
    @Test
    fun `a key that could not be served for long accumulates no credit`() {
        add("a1", "a2", "a3", "a4")
        repeat(50) { add("b$it") }
        repeat(20) { round(places = 1) { it.startsWith("b") } }
        assertEquals(listOf("a1", "a2", "b20", "a3", "b21", "a4"), round(places = 6))
    }

    /** Guards against starvation of those that wait by accounts that come with one request at a time. */
    @Test
    fun `a key that returns after its last entry was served waits for its turn`() {
        add("a1", "a2", "a3", "b1")
        assertEquals(listOf("a1", "b1"), round(places = 2))
        add("b2")
        assertEquals(listOf("a2"), round(places = 1))
        assertEquals(listOf("b2"), round(places = 1))
    }

    /** Guards against state that grows with the number of accounts. */
    @Test
    fun `keys without entries keep no state`() {
        add("a1", "b1", "b2", "c1")
        queue.serve("a", "a1")
        queue.remove("c", "c1")
        assertEquals(mapOf("b" to 2), queue.sizes)
        assertEquals(false, queue.serve("a", "a1"))
        assertEquals(2, queue.size)
    }

    /** Guards against any other order where no request has an account. */
    @Property(seed = "103", tries = 300)
    fun `with one key the order is that of a stable sort`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val queue = FairQueue<String?, Pair<Int, Int>>()
        val model = ArrayList<Pair<Int, Int>>()
        val urgency = compareBy<Pair<Int, Int>> { it.first }
        repeat(30) { step ->
            repeat(random.nextInt(5)) {
                val entry = random.nextInt(4) to step * 10 + it
                queue.add(null, entry)
                model += entry
            }
            val offered = ArrayList<Pair<Int, Int>>()
            queue.offerEach(urgency) { entry ->
                offered += entry
                random.nextBoolean() && queue.serve(null, entry)
            }
            assertEquals(model.sortedWith(urgency), offered)
            model.retainAll(queue.entries.toSet())
            assertEquals(model, queue.entries)
        }
    }

    /** Guards against shares that depend on how many entries keys have, or on the order in which they came. */
    @Property(seed = "104", tries = 300)
    fun `keys that always have entries are served equally often, give or take one`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val queue = FairQueue<Int, Int>()
        val keys = random.nextInt(2, 8)
        var number = 0
        for (key in 0 until keys) repeat(random.nextInt(200, 400)) { queue.add(key, number++) }
        val served = IntArray(keys)
        repeat(30) {
            var places = random.nextInt(7)
            val keyOf = queue.entriesByKey()
            queue.offerEach(naturalOrder()) { entry ->
                val takes = places > 0
                if (takes) {
                    places -= 1
                    queue.serve(keyOf.getValue(entry), entry)
                    served[keyOf.getValue(entry)] += 1
                }
                takes
            }
            assertTrue(served.max() - served.min() <= 1, served.toList().toString())
        }
    }

    private fun FairQueue<Int, Int>.entriesByKey(): Map<Int, Int> {
        val all = entries
        val keys = sizes.flatMap { (key, count) -> List(count) { key } }
        return all.zip(keys).toMap()
    }

    private fun add(vararg entries: String) = entries.forEach { queue.add(it.take(1), it) }

    private fun round(
        places: Int,
        canServe: (String) -> Boolean = { true },
    ): List<String> {
        val served = ArrayList<String>()
        queue.offerEach(compareBy { 0 }) { entry ->
            val takes = served.size < places && canServe(entry)
            if (takes && queue.serve(entry.take(1), entry)) served += entry
            takes
        }
        return served
    }
}
