package plantainturn.relay.peer

import org.junit.jupiter.api.Test
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertEquals

class ResidenceNewsTest {
    private val news = ResidenceNews()
    private val engines =
        List(74) { UpstreamName("e$it") }.associateWith {
            mapOf(
                ModelName("m") to emptySet<ModelName>(),
            )
        }

    @Test
    fun `a node that knows nothing is told of every engine`() {
        news.update(engines)

        assertEquals(74, news.since(-1).size)
    }

    @Test
    fun `a node is told only of engines that changed, and of those that are gone`() {
        news.update(engines)
        val known = news.revision
        val adapter = setOf(ModelName("a1"))
        news.update(engines - UpstreamName("e1") + (UpstreamName("e2") to mapOf(ModelName("m") to adapter)))

        assertEquals(mapOf("e1" to null, "e2" to mapOf("m" to listOf("a1"))), news.since(known))
        assertEquals(emptyMap(), news.since(news.revision))
    }

    @Test
    fun `what stays as it is makes no news`() {
        news.update(engines)
        val known = news.revision
        news.update(engines.toMap())

        assertEquals(known, news.revision)
    }
}
