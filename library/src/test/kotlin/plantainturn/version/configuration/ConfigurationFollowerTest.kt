package plantainturn.version.configuration

import org.junit.jupiter.api.Test
import plantainturn.connection.log.FakeLogService
import plantainturn.connection.log.FollowResult
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.PeerRecords
import plantainturn.connection.log.RecordSource
import plantainturn.connection.log.SnapshotSettings
import plantainturn.connection.log.StreamName
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration

class ConfigurationFollowerTest {
    private val log = FakeLogService()
    private val often = SnapshotSettings(retentionRecords = 4)
    private val node = ConfigurationNode(log, "a", snapshots = often).apply { read() }

    @Test
    fun `the empty stream is version 0`() {
        assertEquals(NumberedConfiguration.NONE, node.follower.current)
    }

    @Test
    fun `a node that starts anew has the version before it says that it has one`() {
        repeat(300) { node.submit(patch("p$it", it.toLong())) }
        val fresh = ConfigurationNode(log, "b")
        val seen = mutableListOf<Long>()
        fresh.follower.subscribe { seen += it.version.number }
        fresh.read()
        assertNull(fresh.version)
        fresh.read()
        assertEquals(listOf(300L), seen)
    }

    @Test
    fun `a node starts from a snapshot after the first records are gone`() {
        node.submit(patch("p", 0))
        node.submit(patch("q", 1))
        assertTrue(node.snapshot())
        log.expireBefore(StreamName.CONFIGURATION, LogOffset(2))
        val fresh = ConfigurationNode(log, "b")
        repeat(2) { fresh.read() }
        assertEquals(node.follower.current, fresh.follower.current)
        assertEquals(PatchResult.Accepted(ConfigurationVersion(1)), fresh.submit(patch("p", 0)))
    }

    @Test
    fun `a node keeps its version when the records after it are gone`() {
        node.submit(patch("p", 0))
        val other = ConfigurationNode(log, "b").apply { read() }
        other.submit(patch("q", 1))
        other.submit(patch("r", 2))
        log.expireBefore(StreamName.CONFIGURATION, LogOffset(2))
        assertIs<FollowResult.SnapshotMissing>(node.read())
        assertEquals(1, node.version)
    }

    @Test
    fun `a fresh node takes the version from a peer during an outage and goes on with the log`() {
        node.submit(patch("p", 0))
        node.submit(patch("q", 1))
        node.snapshot()
        node.read()
        log.unavailable = true
        val fresh = ConfigurationNode(log, "b", peers = { listOf(peer(node)) })
        fresh.follower.loop.step(Duration.ZERO)
        assertEquals(node.follower.current, fresh.follower.current)
        log.unavailable = false
        node.submit(patch("r", 2))
        fresh.follower.loop.step(Duration.ZERO)
        assertEquals(node.follower.stream.position, fresh.follower.stream.position)
    }

    @Test
    fun `a node that hears of a newer version takes it from a peer at once`() {
        val behind = ConfigurationNode(log, "b", peers = { listOf(peer(node)) }).apply { read() }
        node.submit(patch("p", 0))
        behind.follower.hearOf(ConfigurationVersion(1))
        assertTrue(behind.follower.pullHeard())
        assertEquals(1, behind.version)
    }

    @Test
    fun `a version that nobody has the records of is not believed`() {
        val other = ConfigurationNode(log, "b", peers = { listOf(peer(node)) }).apply { read() }
        other.follower.hearOf(ConfigurationVersion(7))
        other.follower.pullHeard()
        assertEquals(0, other.version)
    }

    private fun peer(of: ConfigurationNode): RecordSource =
        RecordSource { from, limit, wait ->
            PeerRecords.of(of.follower.records.read(from, limit, wait)).toReadResult()
        }
}
