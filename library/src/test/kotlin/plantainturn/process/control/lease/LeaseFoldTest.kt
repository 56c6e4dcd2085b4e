package plantainturn.process.control.lease

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.log.LogOffset
import plantainturn.process.control.lease.internal.ControlCodec
import plantainturn.process.control.lease.internal.DecodedEntry
import kotlin.random.Random
import kotlin.test.assertEquals

class LeaseFoldTest {
    /** A reference implementation that decides on each entry from all entries before it. */
    private class ReferenceLease(
        private val entries: List<ControlEntry>,
    ) {
        private val verdicts = mutableListOf<Boolean>()

        init {
            entries.indices.forEach { verdicts += counts(it) }
        }

        fun fenceBefore(index: Int): FenceNumber =
            FenceNumber(
                (0 until index).lastOrNull { verdicts[it] && entries[it] is ControlEntry.Claim }?.toLong() ?: -1,
            )

        fun lastLeaseChangeBefore(index: Int): LogOffset =
            LogOffset((0 until index).lastOrNull { verdicts[it] }?.toLong() ?: -1)

        private fun releasedBefore(index: Int): Boolean =
            (0 until index).lastOrNull { verdicts[it] }?.let { entries[it] is ControlEntry.Release } ?: true

        private fun counts(index: Int): Boolean =
            when (val entry = entries[index]) {
                is ControlEntry.Claim ->
                    if (entry.oldestReadable == null) {
                        entry.fenceSeen == fenceBefore(index) &&
                            entry.lastLeaseChangeSeen == lastLeaseChangeBefore(index)
                    } else {
                        lastLeaseChangeBefore(index) < entry.oldestReadable
                    }
                is ControlEntry.Renewal -> !releasedBefore(index) && entry.fence == fenceBefore(index)
                is ControlEntry.Release -> !releasedBefore(index) && entry.fence == fenceBefore(index)
                else -> false
            }
    }

    @Property(seed = "4301", tries = 500, shrinking = ShrinkingMode.OFF)
    fun `the fold agrees with a reference implementation`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        var state = ControlState.EMPTY
        val entries = mutableListOf<ControlEntry>()
        repeat(60) { index ->
            entries += randomEntry(random, state, index)
            state = LeaseFold.fold(state, LogOffset(index.toLong()), entries.last()).state
            val reference = ReferenceLease(entries)
            assertEquals(reference.fenceBefore(index + 1), state.fence)
            assertEquals(reference.lastLeaseChangeBefore(index + 1), state.lastLeaseChange)
        }
    }

    @Property(seed = "4302", tries = 200, shrinking = ShrinkingMode.OFF)
    fun `every entry is decoded as it was encoded`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val entry = randomEntry(random, ControlState.EMPTY, 9)
        val snapshot =
            ControlEntry.Snapshot(
                LogOffset(4),
                LeaseFold.fold(ControlState.EMPTY, LogOffset(3), entry).state,
            )
        for (each in listOf(entry, snapshot)) {
            assertEquals(DecodedEntry.Known(each), ControlCodec.decode(ControlCodec.encode(each)))
        }
    }

    private fun randomEntry(
        random: Random,
        state: ControlState,
        index: Int,
    ): ControlEntry {
        val fence = if (random.nextInt(4) == 0) FenceNumber(random.nextLong(-1, index + 1L)) else state.fence
        val leaseChange =
            if (random.nextInt(4) == 0) LogOffset(random.nextLong(-1, index + 1L)) else state.lastLeaseChange
        val oldestReadable = LogOffset(random.nextLong(index + 1L)).takeIf { random.nextInt(6) == 0 }
        return when (random.nextInt(4)) {
            0 -> ControlEntry.Claim(HolderIdentifier("h$index"), fence, leaseChange, oldestReadable)
            1 -> ControlEntry.Release(fence)
            else -> ControlEntry.Renewal(fence)
        }
    }
}
