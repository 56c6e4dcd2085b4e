package plantainturn.connection.roster

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The entries of a store that came back from a copy may be older than what is known of the instances. */
class RestoredRosterTest {
    private val roster = InstanceRoster()
    private val now = Moment.ORIGIN + 100.seconds

    @Test
    fun `an instance that is known to leave is not ready by its entry in the copy`() {
        roster.put(instance("a", leaving = true))

        roster.restore(listOf(instance("a")), now)

        assertTrue(roster.instances.getValue(UpstreamName("a")).leaving)
    }

    @Test
    fun `an instance that has left is left out until its entry is written again`() {
        val leftOut = roster.restore(listOf(instance("a")), now)

        assertEquals(setOf(UpstreamName("a")), leftOut)
        assertFalse(UpstreamName("a") in roster.instances)
    }

    @Test
    fun `a later run in the copy is taken over and an earlier one is not`() {
        roster.put(instance("a", startedAt = 5))
        roster.put(instance("b", startedAt = 5))

        roster.restore(listOf(instance("a", startedAt = 6), instance("b", startedAt = 4)), now)

        assertEquals(6, roster.instances.getValue(UpstreamName("a")).startedAt)
        assertEquals(5, roster.instances.getValue(UpstreamName("b")).startedAt)
    }

    @Test
    fun `an instance without an entry in the copy is kept until it has had time to write`() {
        roster.put(instance("a"))
        roster.onStoreRegained(now)

        roster.restore(emptyList(), now)
        roster.expire(now + 2_100.milliseconds)
        assertTrue(UpstreamName("a") in roster.instances)
        roster.expire(now + 2_300.milliseconds)
        assertFalse(UpstreamName("a") in roster.instances)
    }

    private fun instance(
        name: String,
        leaving: Boolean = false,
        startedAt: Long = 1,
    ) = UpstreamInstance(
        UpstreamName(name),
        ServiceName("shop"),
        SocketLocation("127.0.0.1", 1),
        FailureDomain("zone"),
        startedAt,
        concurrency = 1,
        leaving = leaving,
        residents = persistentMapOf(),
        hostCopies = persistentSetOf(),
        diskCopies = persistentSetOf(),
    )
}
