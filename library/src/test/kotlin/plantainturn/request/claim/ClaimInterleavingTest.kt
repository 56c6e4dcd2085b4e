package plantainturn.request.claim

import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import plantainturn.connection.log.FakeLogService
import plantainturn.connection.log.FaultyLogService
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.LogRecordSource
import plantainturn.connection.log.SnapshotSettings
import plantainturn.connection.log.StreamFollower
import plantainturn.connection.log.StreamName
import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ClaimInterleavingTest {
    @Property(seed = "20261204", tries = 3_000, shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    fun `no key is dispatched twice and no given-up claim blocks a key`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val simulation = Simulation(random, crashes = random.nextBoolean())
        repeat(STEPS) { simulation.step() }
        simulation.settle()
    }

    /** A claim that a caller submitted at a node. */
    private class Call(
        val node: ClaimNode,
        val key: ClaimKey,
        val result: CompletableFuture<ClaimResult>,
    )

    private class Simulation(
        private val random: Random,
        private val crashes: Boolean,
    ) {
        private val stream = StreamName.claims("0-of-1")
        private val inner = FakeLogService()
        private val log = FaultyLogService(inner, random, faultRate = 0.3)
        private val reference = StreamFollower(stream, ClaimFold)
        private val nodes = MutableList(3) { startNode() }
        private val calls = mutableListOf<Call>()
        private val running = mutableListOf<Pair<ClaimNode, Claim>>()
        private val dispatches = mutableMapOf<ClaimKey, Int>()
        private val outcomes = mutableMapOf<ClaimKey, ClaimOutcome>()
        private val ranAt = mutableMapOf<ClaimKey, ClaimNode>()
        private val lostWithNode = mutableSetOf<ClaimKey>()
        private var incarnations = 0

        fun step() {
            val index = random.nextInt(nodes.size)
            when (random.nextInt(24)) {
                in 0..4 -> call(nodes[index], claimKey("k${random.nextInt(3)}"))
                in 5..12 -> nodes[index].service.step()
                in 13..15 -> nodes[index].timer.advance(random.nextInt(2_000).milliseconds)
                16 -> nodes[index].timer.advance(61.seconds)
                17 -> if (crashes) crash(index)
                18 -> inner.unavailable = !inner.unavailable
                19 -> expire()
                20 -> log.deliverLate()
                21 -> finishOne()
                else -> actOnOneResult()
            }
        }

        /** Ends all faults, lets all calls and runs finish, and claims each key once more. */
        fun settle() {
            inner.unavailable = false
            log.deliverAll()
            log.faulty = false
            repeat(4) { advanceAll(2.seconds) }
            while (calls.isNotEmpty()) actOnOneResult()
            while (running.isNotEmpty()) finishOne()
            repeat(3) { advanceAll(61.seconds) }
            for (index in 0..2) checkFinalState(claimKey("k$index"))
            compareReaders()
        }

        private fun checkFinalState(key: ClaimKey) {
            val node = nodes.random(random)
            val result = node.claim(key)
            if (key in dispatches) {
                val settled = assertIs<ClaimResult.Settled>(result)
                val lost = key in lostWithNode && settled.outcome == ClaimOutcome.Unknown
                if (!lost) assertEquals(outcomes[key], settled.outcome)
            } else if (!crashes) {
                assertIs<ClaimResult.Granted>(result, "a key that never ran is blocked")
            }
        }

        private fun compareReaders() {
            val source = LogRecordSource(inner, stream)
            reference.step(source, Duration.ZERO)
            inner.expireBefore(stream, reference.newestSnapshot?.covers ?: LogOffset.FIRST)
            val fresh = StreamFollower(stream, ClaimFold)
            repeat(2) { fresh.step(source, Duration.ZERO) }
            assertEquals(reference.position, fresh.position)
        }

        private fun advanceAll(duration: Duration) {
            nodes.forEach { it.service.step() }
            nodes.forEach { it.timer.advance(duration) }
            nodes.forEach { it.service.step() }
        }

        private fun call(
            node: ClaimNode,
            key: ClaimKey,
        ) {
            calls += Call(node, key, node.service.claimAsync(key, "content"))
        }

        private fun actOnOneResult() {
            if (calls.isEmpty()) return
            val call = calls.random(random)
            val result = call.result.getNow(null) ?: return
            calls -= call
            if (result is ClaimResult.Settled) checkOutcome(call.key, result.outcome)
            if (result is ClaimResult.Granted) actOnGrant(call, result.claim)
        }

        private fun actOnGrant(
            call: Call,
            claim: Claim,
        ) {
            if (random.nextInt(4) == 0) {
                call.node.service.release(claim)
                return
            }
            val count = dispatches.merge(call.key, 1, Int::plus)
            assertEquals(1, count, "${call.key} was dispatched again")
            running += call.node to claim
            ranAt[call.key] = call.node
        }

        private fun finishOne() {
            if (running.isEmpty()) return
            val run = running.random(random)
            running -= run
            val (node, claim) = run
            val outcome = if (random.nextInt(3) == 0) ClaimOutcome.Unknown else answered("body of ${claim.record}")
            outcomes[claim.key] = outcome
            node.service.settle(claim, outcome)
        }

        private fun checkOutcome(
            key: ClaimKey,
            outcome: ClaimOutcome,
        ) {
            if (outcome == ClaimOutcome.Unknown) return
            assertEquals(outcomes[key], outcome)
        }

        private fun crash(index: Int) {
            val crashed = nodes[index]
            calls.removeAll { it.node === crashed }
            running.removeAll { it.first === crashed }
            lostWithNode += ranAt.filterValues { it === crashed }.keys
            nodes[index] = startNode()
        }

        private fun expire() {
            reference.step(LogRecordSource(inner, stream), Duration.ZERO)
            val covers = reference.newestSnapshot?.covers ?: return
            log.expireSome(stream, covers)
        }

        private fun startNode(): ClaimNode =
            ClaimNode(log, "n${incarnations++}", snapshots = SnapshotSettings(retentionRecords = 16))
    }

    private companion object {
        const val STEPS = 120
    }
}
