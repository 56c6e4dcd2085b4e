package plantainturn.standins.load

import io.javalin.http.Context
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import plantainturn.process.time.SystemTimerService
import plantainturn.standins.DeterministicAnswer
import plantainturn.standins.internal.StandInServer
import plantainturn.version.configuration.ModelName
import kotlin.test.assertEquals
import kotlin.test.assertTrue

@Timeout(60)
class LoadRunTest {
    @Test
    fun `whole answers are told from wrong, cut and refused ones`() {
        assertEquals(Judged(answered = true), judge { answer(it, "") })
        assertEquals(Judged(wrong = true), judge { answer(it, " more") })
        assertEquals(Judged(unknown = true), judge { it.result("data: {\"choices\":[{\"text\":\"a\"}]}\n\n") })
        assertEquals(Judged(notRun = true), judge { it.status(429).result("""{"error":{"type":"not_run"}}""") })
        assertEquals(
            Judged(failed = true),
            judge { it.result("data: {\"error\":{\"type\":\"failed\",\"code\":4001}}\n\n") },
        )
    }

    @Test
    fun `durations are summed up by rank`() {
        val summary = LatencySummary.of((100 downTo 1).map { it.toDouble() })
        assertEquals(LatencySummary(100, 50.0, 95.0, 99.0, 100.0), summary)
        assertEquals(LatencySummary(), LatencySummary.of(emptyList()))
    }

    private data class Judged(
        val answered: Boolean = false,
        val wrong: Boolean = false,
        val notRun: Boolean = false,
        val failed: Boolean = false,
        val unknown: Boolean = false,
    )

    private fun judge(handler: (Context) -> Unit): Judged {
        val server = StandInServer("127.0.0.1", 0) { it.routes.post("/v1/completions") { context -> handler(context) } }
        return server.use {
            val settings =
                LoadSettings(listOf("http://127.0.0.1:${server.start()}"), models = listOf("clerk"), seconds = 1)
            val summary = SystemTimerService().use { timer -> LoadRun(settings, timer).run() }
            val all = summary.requests
            assertTrue(all > 0)
            Judged(
                summary.answered == all,
                summary.wrong == all,
                summary.notRun == all,
                summary.failed == all,
                summary.unknown == all,
            )
        }
    }

    private fun answer(
        context: Context,
        extra: String,
    ) {
        val body = Json.parseToJsonElement(context.body()).jsonObject
        val prompt = body.getValue("prompt").jsonPrimitive.content
        val tokens = body.getValue("max_tokens").jsonPrimitive.int
        val text = DeterministicAnswer(ModelName("clerk"), prompt).text(0, tokens) + extra
        context.result("data: {\"choices\":[{\"text\":\"$text\"}]}\n\ndata: [DONE]\n\n")
    }
}
