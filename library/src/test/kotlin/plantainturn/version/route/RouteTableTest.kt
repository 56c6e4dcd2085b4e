package plantainturn.version.route

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import plantainturn.version.configuration.ServiceName
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

class RouteTableTest {
    private val table =
        RouteTable(
            persistentListOf(
                route("short", "/a/"),
                route("long", "/a/b/"),
                route("other host", "/a/b/c/", host = "other.example"),
            ),
        )

    @Test
    fun `the longest matching prefix of the host is selected`() {
        assertEquals("long", table.find("host.example", "/a/b/c/d")?.name)
        assertEquals("short", table.find("host.example", "/a/bc")?.name)
    }

    @Test
    fun `hosts are compared case-insensitively`() {
        assertEquals("short", table.find("HOST.example", "/a/x")?.name)
    }

    @Test
    fun `a prefix does not match a path that lacks its final slash`() {
        assertNull(table.find("host.example", "/a"))
        assertNull(table.find("unknown.example", "/a/x"))
    }

    @Test
    fun `requests are split by weight`() {
        val split =
            route("split", "/").copy(
                destinations =
                    persistentListOf(
                        Destination(ServiceName("one"), 90.0),
                        Destination(ServiceName("two"), 10.0),
                    ),
            )

        val drawn = (0 until 100).map { split.destinationFor(it / 100.0) }

        assertEquals(90, drawn.count { it == ServiceName("one") })
    }

    private fun route(
        name: String,
        prefix: String,
        host: String = "host.example",
    ) = Route(
        name = name,
        host = host,
        pathPrefix = prefix,
        repetition = Repetition.IDEMPOTENT,
        destinations = persistentListOf(Destination(ServiceName("one"), 1.0)),
        attempts = 2,
        timeout = 1.seconds,
        objective = 1.seconds,
        eventGapObjective = null,
        eventTimeout = 2.seconds,
        urgency = 0,
    )
}
