package plantainturn.version.configuration

import org.junit.jupiter.api.Test
import plantainturn.connection.log.AppendResult
import plantainturn.connection.log.FakeLogService
import plantainturn.connection.log.LogRecord
import plantainturn.connection.log.LogService
import plantainturn.connection.log.StreamName
import plantainturn.process.ResultCode
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class ConfigurationSubmitterTest {
    private val log = FakeLogService()
    private val node = ConfigurationNode(log, "a").apply { read() }
    private val other = ConfigurationNode(log, "b").apply { read() }

    @Test
    fun `an accepted patch is in force at the node that took it`() {
        assertEquals(PatchResult.Accepted(ConfigurationVersion(1)), node.submit(patch("p", 0)))
        assertEquals(1, node.version)
        assertEquals(
            2.0,
            node.follower.current
                ?.configuration
                ?.objective
                ?.moveWeight,
        )
    }

    @Test
    fun `of two patches on one version the first in the log wins`() {
        val first = patch("first", 0)
        var raced = false
        log.beforeAppend = {
            if (!raced) {
                raced = true
                assertIs<PatchResult.Accepted>(other.submit(first))
            }
        }
        val result = assertIs<PatchResult.Refused>(node.submit(patch("second", 0)))
        assertEquals(ResultCode.CONFIGURATION_CONFLICT, result.code)
        assertEquals(ConfigurationVersion(1), result.current)
    }

    @Test
    fun `a patch whose answer was lost is accepted and stands once`() {
        log.answersToLose = 1
        assertIs<PatchResult.Accepted>(node.submit(patch("p", 0)))
        assertEquals(1, log.records(StreamName.CONFIGURATION).size)
    }

    @Test
    fun `a patch whose append was lost is sent again under its identifier`() {
        log.appendsToLose = 3
        assertIs<PatchResult.Accepted>(node.submit(patch("p", 0)))
        assertEquals(1, log.records(StreamName.CONFIGURATION).size)
    }

    @Test
    fun `a patch during an outage is unknown and gets its fate when it is sent again`() {
        log.unavailable = true
        assertIs<PatchResult.Unknown>(node.submit(patch("p", 0)))
        log.unavailable = false
        assertEquals(PatchResult.Accepted(ConfigurationVersion(1)), node.submit(patch("p", 0)))
    }

    @Test
    fun `a patch that arrives after it was given up gets the same fate from every node`() {
        log.unavailable = true
        assertIs<PatchResult.Unknown>(node.submit(patch("late", 0)))
        log.unavailable = false
        assertIs<PatchResult.Accepted>(other.submit(patch("late", 0)))
        assertIs<PatchResult.Accepted>(other.submit(patch("next", 1)))
        assertEquals(PatchResult.Accepted(ConfigurationVersion(1)), node.also { it.read() }.submit(patch("late", 0)))
        assertEquals(2, node.version)
    }

    @Test
    fun `an invalid patch is refused with every fault and changes nothing`() {
        val json = """{"models":{"m":{"memoryMegabytes":-1}},"colour":"red"}"""
        val result = assertIs<PatchResult.Refused>(node.submit(patch("p", 0, json)))
        assertEquals(ResultCode.CONFIGURATION_INVALID, result.code)
        assertEquals(listOf("$.models.m.memoryMegabytes", "$.colour"), result.faults.map { it.path })
        assertEquals(0, node.version)
    }

    @Test
    fun `a patch that the log refused for a while is sent again`() {
        var refusals = 3
        val refusing =
            object : LogService by log {
                override fun append(
                    stream: StreamName,
                    record: LogRecord,
                ): AppendResult = if (refusals-- > 0) AppendResult.Refused("away") else log.append(stream, record)
            }
        val result = ConfigurationNode(refusing, "c").apply { read() }.submit(patch("p", 0))
        assertEquals(PatchResult.Accepted(ConfigurationVersion(1)), result)
    }

    @Test
    fun `a node that has read nothing submits nothing`() {
        assertIs<PatchResult.Unknown>(ConfigurationNode(log, "c").submit(patch("p", 0)))
        assertNull(log.records(StreamName.CONFIGURATION).firstOrNull())
    }
}
