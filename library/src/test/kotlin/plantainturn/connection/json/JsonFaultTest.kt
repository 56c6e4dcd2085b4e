package plantainturn.connection.json

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse

class JsonFaultTest {
    @Serializable
    private data class Sample(
        val number: Int,
        val list: List<Sample> = emptyList(),
        val flag: Boolean = false,
    )

    /** Guards against a log line that quotes an access key, as the messages of the JSON library do. */
    @Test
    fun `a description has no text of the record`() {
        val faulty =
            listOf(
                "secretkey",
                "\"secretkey\"",
                "[\"secretkey\"]",
                """{"number":"secretkey"}""",
                """{"number":secretkey}""",
                """{"number":1,"list":"secretkey"}""",
                """{"number":1,"list":[{"number":"secretkey"}]}""",
                """{"number":1,"list":["secretkey"]}""",
                """{"number":1,"flag":"secretkey"}""",
                """{"number":1,"flag":secretkey}""",
                """{"number":1,"other":"secretkey""",
                """{"secretkey":1}""",
                """{"secretkey" 1}""",
                """{secretkey:1}""",
                """{"number":1,"other":"\usecretkey"}""",
                """{"number":1}secretkey""",
                """{"number":"type 'secretkey'"}""",
            )

        for (text in faulty) {
            val described = JsonFault.describe(assertFailsWith<IllegalArgumentException> { decode(text) })
            assertFalse("secret" in described, "$text: $described")
        }
    }

    /** Guards against lines from which an operator can't tell what to mend. */
    @Test
    fun `a description names the path and what was expected`() {
        val wrong = assertFailsWith<IllegalArgumentException> { decode("""{"number":1,"list":[{"number":"x"}]}""") }
        assertEquals("path=$.list[0].number offset=30 expected=a number", JsonFault.describe(wrong))
    }

    private fun decode(text: String): Sample = Json { ignoreUnknownKeys = true }.decodeFromString(text)
}
