package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.connection.roster.SoftwareVersion
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.connection.roster.VersionHistory
import plantainturn.process.time.VirtualTimerService
import plantainturn.request.RequestIdentifier
import plantainturn.request.relay.OriginNetwork.Companion.LIFETIME
import plantainturn.request.relay.OriginNetwork.Companion.SERVICE
import plantainturn.request.relay.OriginNetwork.Companion.instance
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StreamOriginsTest {
    private val timer = VirtualTimerService()
    private val origins = StreamOrigins(timer, capacity = 3)
    private val history = VersionHistory(timer)

    @Test
    fun `an origin is told once, again after a loss, and not for services that are not wanted`() {
        begin("a", instance("e1", "v1"))

        assertEquals(emptyList(), origins.takeUnannounced(9, LIFETIME) { false })
        assertEquals(listOf(StreamOrigin(RequestIdentifier("a"), V1)), origins.takeUnannounced(9, LIFETIME) { true })
        assertEquals(emptyList(), origins.takeUnannounced(9, LIFETIME) { true })
        origins.announceAgain()
        assertEquals(1, origins.takeUnannounced(9, LIFETIME) { true }.size)
    }

    @Test
    fun `streams that have ended long ago are not told`() {
        begin("a", instance("e1", "v1"))
        timer.advance(16.seconds)

        assertEquals(emptyList(), origins.takeUnannounced(9, LIFETIME) { true })
    }

    @Test
    fun `a stream sent to a run that was not known yet has the version of that run`() {
        origins.onInstances(listOf(instance("e1", "v1", startedAt = 1_000)))
        begin("before", instance("e1", "v1", startedAt = 1_000), sentAt = 4_000)
        begin("after", instance("e1", "v1", startedAt = 1_000), sentAt = 6_000)
        origins.takeUnannounced(9, LIFETIME) { true }

        origins.onInstances(listOf(instance("e1", "v2", startedAt = 5_000)))

        assertEquals(V1, origins.versionOf(RequestIdentifier("before")))
        assertEquals(V2, origins.versionOf(RequestIdentifier("after")))
        assertEquals(
            listOf(StreamOrigin(RequestIdentifier("after"), V2, correction = 1)),
            origins.takeUnannounced(9, LIFETIME) { true },
        )
    }

    @Test
    fun `the newest streams are remembered, and what others tell does not replace what is known here`() {
        listOf("a", "b", "c", "d").forEach { begin(it, instance("e1", "v1")) }
        origins.learn(listOf(StreamOrigin(RequestIdentifier("d"), V2), StreamOrigin(RequestIdentifier("e"), V2)))

        assertNull(origins.versionOf(RequestIdentifier("a")))
        assertEquals(V1, origins.versionOf(RequestIdentifier("d")))
        assertEquals(V2, origins.versionOf(RequestIdentifier("e")))
        assertEquals(3, origins.size)
    }

    @Test
    fun `a version that has left counts for as long as its streams live`() {
        history.onInstances(listOf(instance("e1", "v1"), instance("e2", "v2")))
        assertTrue(history.isMixed(SERVICE, LIFETIME))
        history.onInstances(listOf(instance("e2", "v2")))
        timer.advance(14_900.milliseconds)
        assertTrue(history.isMixed(SERVICE, LIFETIME))
        timer.advance(200.milliseconds)
        assertFalse(history.isMixed(SERVICE, LIFETIME))
    }

    @Test
    fun `a version that another node saw lately counts`() {
        history.onInstances(listOf(instance("e2", "v2")))
        history.onSeen(SERVICE, V1, age = 5.seconds)
        assertTrue(history.isMixed(SERVICE, LIFETIME))
        timer.advance(11.seconds)
        assertFalse(history.isMixed(SERVICE, LIFETIME))
    }

    private fun begin(
        stream: String,
        instance: UpstreamInstance,
        sentAt: Long = 2_000,
    ) = origins.onEvent(RequestIdentifier(stream), instance, sentAt)

    private companion object {
        val V1 = SoftwareVersion("v1")
        val V2 = SoftwareVersion("v2")
    }
}
