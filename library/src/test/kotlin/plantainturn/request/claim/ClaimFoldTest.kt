package plantainturn.request.claim

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.json.Json
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.junit.jupiter.api.Test
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.RecordIdentifier
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ClaimFoldTest {
    private var state = ClaimState()

    @Property(seed = "4", tries = 3_000, shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    fun `the fold decides as the reference implementation does`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val reference = NaiveClaims()
        var folded = ClaimState()
        repeat(80) {
            val entry = randomEntry(random)
            val result = ClaimFold.apply(folded, LogOffset(it.toLong()), persistentListOf(encode(entry)))
            assertEquals(reference.add(entry), result.verdicts.singleOrNull()?.decision)
            folded = result.state
            if (random.nextInt(10) == 0) folded = ClaimFold.decode(ClaimFold.encode(folded))
        }
    }

    @Test
    fun `a request that arrives after the release of its claim is void and leaves the key free`() {
        apply(ClaimEntry.Release(RecordIdentifier("late"), claimKey("k")))
        assertEquals(ClaimDecision.Void, request("late", "k"))
        assertEquals(ClaimDecision.Granted, request("next", "k"))
    }

    @Test
    fun `a duplicate request of a settled claim is not granted again`() {
        request("a", "k")
        settle("a", "k")
        assertEquals(ClaimDecision.Void, request("a", "k"))
        assertEquals(ClaimDecision.Settled(answered()), request("b", "k"))
    }

    @Test
    fun `a settlement by a claim other than the holder has no effect`() {
        request("a", "k")
        settle("b", "k")
        assertEquals(ClaimDecision.InProgress, request("c", "k"))
    }

    @Test
    fun `a key without a timestamp is evicted when the limit of settled keys is exceeded`() {
        run("first")
        repeat(TeamWindow.SETTLED_LIMIT - 1) { run("k$it") }
        assertEquals(ClaimDecision.Settled(answered()), request("again", "first"))
        run("last")
        assertEquals(ClaimDecision.Granted, request("again", "first"))
    }

    @Test
    fun `a key with a timestamp is never granted twice, even after its eviction`() {
        repeat(TeamWindow.SETTLED_LIMIT * 2) { run(timedKey(it.toLong())) }
        assertEquals(ClaimDecision.Expired, request("again", timedKey(0)))
        assertEquals(ClaimDecision.Granted, request("new", timedKey(TeamWindow.SETTLED_LIMIT * 2L)))
    }

    @Test
    fun `a window restored from a snapshot evicts keys in the same order`() {
        repeat(TeamWindow.SETTLED_LIMIT) { run("k${it * 7 % TeamWindow.SETTLED_LIMIT}") }
        state = ClaimFold.decode(ClaimFold.encode(state))
        run("one more")
        assertEquals(ClaimDecision.Granted, request("again", "k0"))
        assertEquals(ClaimDecision.Settled(answered()), request("again", "k7"))
    }

    @Test
    fun `a key from a clock that is ahead does not expire other keys`() {
        run(timedKey(1L shl 40))
        repeat(TeamWindow.SETTLED_LIMIT * 2) { run(timedKey(it.toLong())) }
        assertEquals(ClaimDecision.Granted, request("new", timedKey(TeamWindow.SETTLED_LIMIT * 2L)))
        assertEquals(ClaimDecision.Settled(answered()), request("again", timedKey(1L shl 40)))
    }

    @Test
    fun `a held key is not evicted and a team holds a bounded number of keys`() {
        request("held", "held")
        repeat(TeamWindow.SETTLED_LIMIT + 10) { run("k$it") }
        assertEquals(ClaimDecision.InProgress, request("again", "held"))
        repeat(TeamWindow.HELD_LIMIT - 1) { request("h$it", "h$it") }
        assertEquals(ClaimDecision.Full, request("one more", "one more"))
    }

    @Test
    fun `the oldest bodies are evicted when their total length exceeds the limit`() {
        val body = answered("x".repeat(TeamWindow.BODY_CHARACTERS_LIMIT.toInt() / 4))
        for (key in listOf("k0", "k1", "k2", "k3", "k4")) {
            request("claim of $key", key)
            settle("claim of $key", key, body)
        }
        assertEquals(WITHOUT_BODY, request("again", "k0"))
        assertEquals(ClaimDecision.Settled(body), request("again", "k1"))
        assertEquals(TeamWindow.BODY_CHARACTERS_LIMIT, state.window(claimKey("k0").team).bodyCharacters)
    }

    @Test
    fun `a key has a timestamp only if it is a UUID of version 7`() {
        assertEquals(0x0123_4567_89abL, KeyTimestamp.millisecondsOf("01234567-89ab-7def-8123-456789abcdef"))
        assertNull(KeyTimestamp.millisecondsOf("01234567-89ab-4def-8123-456789abcdef"))
        assertNull(KeyTimestamp.millisecondsOf("01234567-89ab-7def-c123-456789abcdef"))
        assertNull(KeyTimestamp.millisecondsOf("order-7"))
    }

    private fun run(key: String) {
        request("claim of $key", key)
        settle("claim of $key", key)
    }

    private fun request(
        claim: String,
        key: String,
    ): ClaimDecision {
        val entry = ClaimEntry.Request(RecordIdentifier(claim), claimKey(key), "content")
        return ClaimFold.decide(state, entry).also { apply(entry) }
    }

    private fun settle(
        claim: String,
        key: String,
        outcome: ClaimOutcome = answered(),
    ) = apply(ClaimEntry.Settle(RecordIdentifier(claim), claimKey(key), outcome))

    private fun apply(entry: ClaimEntry) {
        state = ClaimFold.apply(state, entry)
    }

    private fun timedKey(milliseconds: Long): String {
        val time = milliseconds.toString(16).padStart(12, '0')
        return "${time.take(8)}-${time.drop(8)}-7000-8000-000000000000"
    }

    private fun encode(entry: ClaimEntry) = Json.encodeToJsonElement(ClaimEntry.serializer(), entry)

    private fun randomEntry(random: Random): ClaimEntry {
        val key = claimKey("k${random.nextInt(3)}")
        val claim = RecordIdentifier("c${random.nextInt(12)} of ${key.key}")
        return when (random.nextInt(8)) {
            in 0..3 -> ClaimEntry.Request(claim, key, "content ${random.nextInt(8) / 7}")
            4 -> ClaimEntry.Settle(claim, key, answered("body${random.nextInt(3)}"))
            5 -> ClaimEntry.Settle(claim, key, ClaimOutcome.Unknown)
            6 -> ClaimEntry.Release(claim, key)
            else -> ClaimEntry.Abandon(claim, key)
        }
    }

    private companion object {
        val WITHOUT_BODY = ClaimDecision.Settled(answered("").copy(bodyTruncated = true))
    }
}
