package plantainturn.version.configuration

import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import plantainturn.connection.log.FakeLogService
import plantainturn.connection.log.FaultyLogService
import plantainturn.connection.log.PeerRecords
import plantainturn.connection.log.RecordSource
import plantainturn.connection.log.SnapshotSettings
import plantainturn.connection.log.StreamName
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ConfigurationInterleavingTest {
    @Property(
        seed = "20261204",
        tries = 2_000,
        shrinking = ShrinkingMode.OFF,
        edgeCases = EdgeCasesMode.NONE,
    )
    fun `every node follows one history that never goes back`(
        @ForAll seed: Long,
    ) {
        val world = World(Random(seed))
        repeat(STEPS) { world.step() }
        world.settle()
    }

    private class World(
        private val random: Random,
    ) {
        private val inner = FakeLogService()
        private val log = FaultyLogService(inner, random, faultRate = 0.3)
        private val nodes = MutableList(3) { start(it) }
        private val seen = mutableListOf<NumberedConfiguration>()
        private val results = mutableListOf<Pair<ConfigurationPatch, PatchResult>>()
        private var incarnations = 0
        private var patches = 0

        fun step() {
            val place = random.nextInt(nodes.size)
            when (random.nextInt(20)) {
                in 0..6 -> submit(nodes[place])
                in 7..11 -> nodes[place].read()
                in 12..13 -> nodes[place].snapshot()
                14 -> log.expireSome(StreamName.CONFIGURATION)
                15 -> inner.unavailable = !inner.unavailable
                16 -> nodes[place] = start(place)
                17 -> nodes[place].follower.loop.pull()
                else -> log.deliverLate()
            }
        }

        /** Ends all faults and compares what every node saw with the plain rules over the whole history. */
        fun settle() {
            inner.unavailable = false
            log.deliverAll()
            log.faulty = false
            nodes.forEach { node -> repeat(3) { node.read() } }
            val truth = NaiveConfiguration.of(log.history)
            for (configuration in seen) {
                assertEquals(truth.versions[configuration.version.number.toInt()], configuration.configuration)
            }
            for ((patch, result) in results) compare(truth.accepted[patch.identifier], result)
        }

        private fun compare(
            made: Long?,
            result: PatchResult,
        ) {
            when (result) {
                is PatchResult.Accepted -> assertEquals(made, result.version.number)
                is PatchResult.Refused -> assertEquals(null, made)
                is PatchResult.Unknown -> Unit
            }
        }

        private fun submit(node: ConfigurationNode) {
            val patch = if (results.isNotEmpty() && random.nextInt(4) == 0) repeated() else fresh(node)
            results += patch to node.submit(patch)
        }

        private fun repeated(): ConfigurationPatch = results.random(random).first

        private fun fresh(node: ConfigurationNode): ConfigurationPatch {
            val version = (node.version ?: 0) + if (random.nextInt(5) == 0) random.nextInt(-2, 3) else 0
            val weight = random.nextInt(-1, 9)
            return patch("patch ${patches++}", version.coerceAtLeast(0), """{"objective":{"moveWeight":$weight}}""")
        }

        private fun start(place: Int): ConfigurationNode {
            val settings = SnapshotSettings(retentionRecords = 12)
            val others = { nodes.filterIndexed { index, _ -> index != place }.map(::peer) }
            val node = ConfigurationNode(log, "n${incarnations++}", snapshots = settings, peers = others)
            var last = -1L
            node.follower.subscribe { now ->
                assertTrue(now.version.number > last, "went from $last to ${now.version}")
                last = now.version.number
                seen += now
            }
            return node
        }

        private fun peer(of: ConfigurationNode): RecordSource =
            RecordSource { from, limit, wait ->
                PeerRecords.of(of.follower.records.read(from, limit, wait)).toReadResult()
            }
    }

    private companion object {
        const val STEPS = 60
    }
}
