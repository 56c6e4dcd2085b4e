package plantainturn.version.configuration

import org.junit.jupiter.api.Test
import plantainturn.process.ResultCode
import kotlin.test.assertEquals

class ConfigurationFoldTest {
    private var state = ConfigurationState()

    @Test
    fun `a patch made against a version still to come is refused for good`() {
        apply("early", 1)
        apply("first", 0)
        apply("early", 1)
        assertEquals(1, state.current.version.number)
        assertEquals(refused(0), fate("early"))
    }

    @Test
    fun `a patch that comes again keeps its first fate`() {
        apply("p", 0)
        apply("q", 1)
        apply("p", 0)
        assertEquals(PatchFate.Accepted(ConfigurationVersion(1)), fate("p"))
        assertEquals(2, state.current.version.number)
    }

    @Test
    fun `a copy of an accepted patch whose fate is no longer kept is a conflict and changes nothing`() {
        apply("p", 0)
        repeat(ConfigurationState.FATES_KEPT) { apply("conflict $it", 0) }
        assertEquals(null, fate("p"))
        apply("p", 0)
        assertEquals(1, state.current.version.number)
        assertEquals(refused(1), fate("p"))
    }

    @Test
    fun `a snapshot holds the configuration and the fates in their order`() {
        apply("p", 0)
        apply("q", 0)
        apply("bad", 1, """{"models":3}""")
        val copy = ConfigurationFold.decode(ConfigurationFold.encode(state))
        assertEquals(state, copy)
        assertEquals(state.fates.keys.toList(), copy.fates.keys.toList())
    }

    private fun apply(
        identifier: String,
        madeAgainst: Long,
        json: String = """{"objective":{"moveWeight":2.0}}""",
    ) {
        state = ConfigurationFold.apply(state, patch(identifier, madeAgainst, json))
    }

    private fun fate(identifier: String): PatchFate? = state.fates[PatchIdentifier(identifier)]

    private fun refused(current: Long): PatchFate.Refused =
        PatchFate.Refused(ResultCode.CONFIGURATION_CONFLICT.number, ConfigurationVersion(current))
}
