package plantainturn.daemon.caller

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plantainturn.request.RequestPriority
import plantainturn.version.configuration.ModelName
import kotlin.test.assertEquals
import kotlin.test.assertIs

class CompletionParserTest {
    @Test
    fun `a text request is read with its defaults`() {
        val parsed = CompletionParser.parse(CompletionConvention.TEXT, """{"model": "m", "prompt": "p"}""")
        val expected = ParsedCompletion.Valid(ModelName("m"), "p", 256, false, RequestPriority.INTERACTIVE)
        assertEquals<ParsedCompletion>(expected, parsed)
    }

    @Test
    fun `chat messages are joined in order with their roles`() {
        val body =
            """{"model": "m", "messages": [{"role": "system", "content": "a"}, {"role": "user", "content": "b"}],
                "max_tokens": 3, "stream": true, "priority": "batch"}"""
        val parsed = assertIs<ParsedCompletion.Valid>(CompletionParser.parse(CompletionConvention.CHAT, body))
        val expected = ParsedCompletion.Valid(ModelName("m"), "system: a\nuser: b", 3, true, RequestPriority.BATCH)
        assertEquals(expected, parsed)
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "[] | the body must be an object",
            "{\"prompt\": \"p\"} | model must be a text",
            "{\"model\": \"\", \"prompt\": \"p\"} | model must have 1 to 256 characters",
            "{\"model\": \"m\"} | prompt must be a text",
            "{\"model\": \"m\", \"prompt\": 7} | prompt must be a text",
            "{\"model\": \"m\", \"prompt\": \"p\", \"max_tokens\": 0} |" +
                " max_tokens must be a whole number from 1 to 32768 (tokens)",
            "{\"model\": \"m\", \"prompt\": \"p\", \"max_tokens\": \"9\"} |" +
                " max_tokens must be a whole number from 1 to 32768 (tokens)",
            "{\"model\": \"m\", \"prompt\": \"p\", \"stream\": 1} | stream must be true or false",
            "{\"model\": \"m\", \"prompt\": \"p\", \"priority\": \"now\"} | priority must be interactive or batch",
        ],
    )
    fun `a body that cannot be used is refused with the reason`(
        body: String,
        problem: String,
    ) {
        assertEquals<ParsedCompletion>(
            ParsedCompletion.Malformed(problem),
            CompletionParser.parse(CompletionConvention.TEXT, body),
        )
    }

    @Test
    fun `a body nested beyond the stack is refused`() {
        val body = "[".repeat(200_000)
        assertIs<ParsedCompletion.Malformed>(CompletionParser.parse(CompletionConvention.TEXT, body))
    }
}
