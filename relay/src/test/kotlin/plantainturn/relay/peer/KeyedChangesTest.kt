package plantainturn.relay.peer

import org.junit.jupiter.api.Test
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertEquals

class KeyedChangesTest {
    private val changes = KeyedChanges<UpstreamName, Map<ModelName, Set<ModelName>>>()
    private val engines =
        List(74) { UpstreamName("e$it") }.associateWith {
            mapOf(
                ModelName("m") to emptySet<ModelName>(),
            )
        }

    @Test
    fun `a node that has received nothing gets every engine`() {
        changes.update(engines)

        assertEquals(74, changes.since(-1).size)
    }

    @Test
    fun `a node receives only engines that changed or were removed`() {
        changes.update(engines)
        val known = changes.revision
        val adapter = setOf(ModelName("a1"))
        changes.update(engines - UpstreamName("e1") + (UpstreamName("e2") to mapOf(ModelName("m") to adapter)))

        val expected = mapOf(UpstreamName("e1") to null, UpstreamName("e2") to mapOf(ModelName("m") to adapter))
        assertEquals(expected, changes.since(known))
        assertEquals(emptyMap(), changes.since(changes.revision))
    }

    @Test
    fun `an update with equal entries does not increase the revision`() {
        changes.update(engines)
        val known = changes.revision
        changes.update(engines.toMap())

        assertEquals(known, changes.revision)
    }
}
