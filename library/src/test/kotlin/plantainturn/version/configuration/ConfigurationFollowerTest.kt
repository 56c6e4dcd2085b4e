package plantainturn.version.configuration

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Test
import plantainturn.connection.log.FakeLogService
import plantainturn.connection.log.FollowResult
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.LogRecord
import plantainturn.connection.log.PeerRecords
import plantainturn.connection.log.ReadResult
import plantainturn.connection.log.RecordIdentifier
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
        var reads = 0
        while (fresh.stillBehind()) {
            assertNull(fresh.version)
            reads++
        }
        assertTrue(reads > 0)
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
    fun `a snapshot that an operator writes by hand starts a node`() {
        repeat(3) { node.submit(patch("p$it", it.toLong())) }
        log.expireBefore(StreamName.CONFIGURATION, LogOffset(3))
        val state = """{"version":7,"configuration":{"objective":{"moveWeight":4}},"fates":[]}"""
        val text = JsonPrimitive("""{"recent":[],"state":$state}""")
        val snapshot = """{"identifier":"by hand","covers":3,"part":0,"parts":1,"text":$text}"""
        val payload = """{"rule":1,"snapshot":$snapshot}"""
        log.append(StreamName.CONFIGURATION, LogRecord(RecordIdentifier("by hand"), payload))
        val fresh = ConfigurationNode(log, "b")
        repeat(2) { fresh.read() }
        assertEquals(7, fresh.version)
    }

    @Test
    fun `a node that hears of a newer version takes it from a peer at once`() {
        val behind = ConfigurationNode(log, "b", peers = { listOf(peer(node)) }).apply { read() }
        node.submit(patch("p", 0))
        behind.follower.hearOf(ConfigurationVersion(1))
        assertEquals(1, behind.version)
    }

    @Test
    fun `a version that nobody has the records of is not believed`() {
        val other = ConfigurationNode(log, "b", peers = { listOf(peer(node)) }).apply { read() }
        other.follower.hearOf(ConfigurationVersion(7))
        assertEquals(0, other.version)
    }

    @Test
    fun `a peer that promises records and gives none is left`() {
        val empty = RecordSource { _, _, _ -> ReadResult.Records(persistentListOf(), LogOffset(9)) }
        val other = ConfigurationNode(log, "b", peers = { listOf(empty, peer(node)) })
        node.submit(patch("p", 0))
        other.follower.loop.pull()
        assertEquals(1, other.version)
    }

    private fun ConfigurationNode.stillBehind(): Boolean = !assertIs<FollowResult.Followed>(read()).caughtUp

    private fun peer(of: ConfigurationNode): RecordSource =
        RecordSource { from, limit, wait ->
            PeerRecords.of(of.follower.records.read(from, limit, wait)).toReadResult()
        }
}
