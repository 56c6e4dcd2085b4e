package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class InstanceHealthTest {
    private val health = InstanceHealth()

    @Test
    fun `an instance that can't be reached is suspected at once`() {
        assertTrue(health.onFailure(FailureKind.UNREACHABLE, at(0)))

        assertTrue(health.isSuspected(at(100)))
    }

    @Test
    fun `after the suspicion period one trial request at a time is sent to a suspect`() {
        health.onFailure(FailureKind.UNREACHABLE, at(0))
        assertFalse(health.isSuspected(at(500)))
        health.onSend(at(500))

        assertTrue(health.isSuspected(at(501)), "the trial is in flight")
        health.onSuccess(at(520))
        assertFalse(health.isSuspected(at(521)))
    }

    @Test
    fun `a suspect whose trial fails stays suspected for longer`() {
        health.onFailure(FailureKind.UNREACHABLE, at(0))
        health.onSend(at(500))
        health.onFailure(FailureKind.ERROR, at(510))

        assertTrue(health.isSuspected(at(1_200)))
    }

    @Test
    fun `an application that fails one request in seven is not suspected for long`() {
        val random = Random(1)
        var suspected = 0
        for (time in 0 until 200) {
            val now = at(time * 200)
            if (health.isSuspected(now)) {
                suspected++
            } else {
                health.onSend(now)
                if (random.nextDouble() < 0.14) health.onFailure(FailureKind.ERROR, now) else health.onSuccess(now)
            }
        }

        assertTrue(suspected < 10, "suspected at $suspected of 200 moments")
    }

    @Test
    fun `an instance that fails half of its requests becomes suspected`() {
        val random = Random(1)
        val becameSuspected =
            (0 until 40).any { time ->
                val now = at(time * 200)
                if (random.nextBoolean()) {
                    health.onFailure(FailureKind.ERROR, now)
                } else {
                    health.onSuccess(now)
                }
                health.isSuspected(now)
            }

        assertTrue(becameSuspected)
    }

    @Test
    fun `errors that one node received make the others suspect the instance, but failures of its link do not`() {
        val other = InstanceHealth()
        repeat(3) { health.onFailure(FailureKind.ERROR, at(it)) }
        other.onPeerSuspicion(health.suspicionToShare(at(10)), at(10))

        assertTrue(other.isSuspected(at(100)))
        assertFalse(other.isSuspected(at(1_000)), "peer suspicion ends when the reporting node may send a trial")

        val partitioned = InstanceHealth()
        partitioned.onFailure(FailureKind.UNREACHABLE, at(0))
        assertEquals(null, partitioned.suspicionToShare(at(10)))
    }

    private companion object {
        fun at(milliseconds: Int): Moment = Moment.ORIGIN + milliseconds.milliseconds
    }
}
