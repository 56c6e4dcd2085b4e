package plantainturn.connection.upstream

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.request.Samples
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class UpstreamUsageTest {
    private val usage = UpstreamUsage()
    private val name = Samples.engineName(1)
    private val specification = Samples.specification(concurrency = 2)
    private val start = Moment.ORIGIN

    @Test
    fun `permits end at the limit and come back once each`() {
        val first = assertNotNull(usage.tryBegin(name, specification, start))
        assertNotNull(usage.tryBegin(name, specification, start))
        assertNull(usage.tryBegin(name, specification, start))
        repeat(3) { first.end(start + 1.seconds, failed = false) }
        assertNotNull(usage.tryBegin(name, specification, start))
        assertNull(usage.tryBegin(name, specification, start))
    }

    @Test
    fun `changes are counted from the moment asked for`() {
        val first = usage.tryBegin(name, specification, start + 1.seconds)
        usage.tryBegin(name, specification, start + 2.seconds)
        first?.end(start + 3.seconds, failed = false)
        val expected = listOf(0 to 1, 1 to 0, 2 to -1, 3 to 0)
        val read = expected.map { (second, _) -> second to netSince(start + second.seconds) }
        assertEquals(expected, read)
    }

    @Test
    fun `the limit falls with late first tokens and rises again with timely ones under load`() {
        val limit = ConcurrencyLimit(expected = 16)
        repeat(100) { limit.observe(inTime = false, inFlight = 16) }
        val fallen = limit.value
        repeat(4_000) { limit.observe(inTime = true, inFlight = limit.value) }
        assertTrue(fallen < 8 && limit.value in 17..32, "$fallen ${limit.value}")
    }

    @Test
    fun `the limit does not rise while it is not used`() {
        val limit = ConcurrencyLimit(expected = 16)
        repeat(400) { limit.observe(inTime = true, inFlight = 1) }
        assertEquals(16, limit.value)
    }

    @Property(seed = "44", tries = 300)
    fun `the limit stays within its bounds whatever is observed`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val limit = ConcurrencyLimit(expected = 8)
        repeat(300) {
            limit.observe(random.nextInt(5) > random.nextInt(5), random.nextInt(20))
            assertTrue(limit.value in 1..16)
        }
    }

    @Test
    fun `what was slow counts less as it ages`() {
        val permit = usage.tryBegin(name, specification, start)
        permit?.firstToken(start + 2.seconds, 780.milliseconds)
        val reads = listOf(2, 60, 300).map { usage.read(name, specification, null, start + it.seconds).firstToken }
        assertEquals(reads.sortedDescending(), reads)
        assertTrue(reads.last() < 110.milliseconds)
    }

    private fun netSince(since: Moment) = usage.read(name, specification, since, start).netSince
}
