package plantainturn.request.quarantine

import plantainturn.process.time.VirtualTimerService
import plantainturn.request.Samples
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Simulates several nodes in front of upstreams that crash by themselves or because of one poison request.
 *
 * @param poison whether a request that crashes its upstream is sent repeatedly, at any node
 * @param unrelatedCrashSeconds the mean time between crashes that no request causes, null for none
 */
class CrashingFleet(
    private val random: Random,
    private val poison: Boolean,
    private val unrelatedCrashSeconds: Int?,
) {
    private class Attempt(
        val node: Int,
        val fingerprint: RequestFingerprint,
        val upstream: Int,
        val endsAt: Int,
    )

    private val timer = VirtualTimerService()
    private val nodes = List(NODES) { QuarantineRegister(timer) }
    private val running = mutableListOf<Attempt>()
    private var nextFingerprint = 1L

    /** Crashes of upstreams that the poison request caused. */
    var causedCrashes = 0
        private set

    /** Crashes that no request caused. */
    var unrelatedCrashes = 0
        private set

    /** Harmless requests that were quarantined. */
    var falseAlarms = 0
        private set

    /** Harmless requests that were not permitted to begin. */
    var heldBack = 0
        private set
    var sent = 0
        private set

    fun run(steps: Int) {
        repeat(steps) { step ->
            finish(step)
            repeat(3) { send(random.nextInt(NODES), RequestFingerprint(nextFingerprint++), step) }
            if (poison && step % POISON_EVERY == 0) send(random.nextInt(NODES), POISON, step)
            if (unrelatedCrashSeconds != null && random.nextInt(unrelatedCrashSeconds * 10) == 0) crashUnrelated(step)
            if (step % GOSSIP_EVERY == 0) gossip()
            timer.advance(STEP)
        }
    }

    private fun send(
        node: Int,
        fingerprint: RequestFingerprint,
        step: Int,
        tried: Int? = null,
    ) {
        if (fingerprint != POISON) sent += 1
        val avoided = nodes[node].upstreamsToAvoid(fingerprint)
        val free = (0 until UPSTREAMS).filter { it != tried && Samples.engineName(it) !in avoided }
        val upstream = free.ifEmpty { (0 until UPSTREAMS).filter { it != tried } }.random(random)
        if (nodes[node].tryBegin(fingerprint, Samples.engineName(upstream))) {
            running += Attempt(node, fingerprint, upstream, step + 1 + random.nextInt(LONGEST))
            if (fingerprint == POISON) crashByPoison(upstream, step)
        } else if (fingerprint != POISON) {
            heldBack += 1
        }
    }

    private fun crashByPoison(
        upstream: Int,
        step: Int,
    ) {
        causedCrashes += 1
        crash(upstream, step)
    }

    private fun crashUnrelated(step: Int) {
        unrelatedCrashes += 1
        crash(random.nextInt(UPSTREAMS), step)
    }

    private fun crash(
        upstream: Int,
        step: Int,
    ) {
        val interrupted = running.filter { it.upstream == upstream }
        running.removeAll(interrupted)
        for (attempt in interrupted.shuffled(random)) {
            val evidence = CrashEvidence(Samples.engineName(upstream), "before")
            val quarantined = nodes[attempt.node].broke(attempt.fingerprint, evidence) { CrashVerdict.CONFIRMED }
            if (quarantined && attempt.fingerprint != POISON) falseAlarms += 1
            if (!quarantined) send(attempt.node, attempt.fingerprint, step, upstream)
        }
    }

    private fun finish(step: Int) {
        val done = running.filter { it.endsAt <= step }
        running.removeAll(done)
        done.forEach { nodes[it.node].succeeded(it.fingerprint, Samples.engineName(it.upstream)) }
    }

    private fun gossip() {
        val digests = nodes.map { it.snapshot() }
        nodes.forEach { node -> digests.forEach(node::merge) }
    }

    private companion object {
        const val NODES = 8
        const val UPSTREAMS = 6
        const val LONGEST = 40
        const val POISON_EVERY = 20
        const val GOSSIP_EVERY = 10
        val POISON = RequestFingerprint(-1)
        val STEP = 100.milliseconds
    }
}
