package plantainturn.daemon.settings

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import plantainturn.version.document.DocumentFault
import kotlin.test.assertEquals
import kotlin.test.assertIs

class NodeSettingsReaderTest {
    private val valid =
        """
        {"name": "node-1", "failureDomain": "hakata", "region": "kyushu", "shard": "main",
         "callers": {"address": "127.0.0.1", "port": 0}, "control": {"address": "127.0.0.1", "port": 9000},
         "operatorTokenSha256": "${"ab".repeat(32)}", "peerToken": "0123456789abcdef",
         "log": {"url": "http://127.0.0.1:1"}, "vmList": {"url": "http://127.0.0.1:2"}}
        """.trimIndent()

    @Test
    fun `settings with every required field are valid`() {
        val result = assertIs<SettingsResult.Valid>(NodeSettingsReader.read(valid))
        assertEquals(9000, result.settings.control.port)
        assertEquals(LimitSettings(), result.settings.limits)
    }

    @Test
    fun `every fault is named in one pass`() {
        val result = assertIs<SettingsResult.Invalid>(NodeSettingsReader.read("""{"name": "a b", "colour": 1}"""))
        val paths = result.faults.map { it.path }
        val missing = listOf("failureDomain", "region", "shard", "operatorTokenSha256", "peerToken")
        assertEquals(
            listOf("$.name") + missing.map { "$.$it" } +
                listOf("$.callers", "$.control", "$.log", "$.vmList", "$.colour"),
            paths,
        )
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "\"port\": 9000 | \"port\": 70000 | $.control.port |" +
                " must be a whole number of TCP ports from 0 to 65535, is 70000",
            "\"port\": 9000 | \"port\": \"9000\" | $.control.port |" +
                " must be a whole number of TCP ports from 0 to 65535, is \"9000\"",
            "http://127.0.0.1:1 | http://log.example | $.log.url |" +
                " must be a URL such as http://10.0.0.1:8000, with an IP number, is \"http://log.example\"",
            "\"peerToken\": \"0123456789abcdef\" | \"peerToken\": \"short\" | $.peerToken |" +
                " must be a token of 16 to 256 characters without spaces, is \"short\"",
        ],
    )
    fun `a wrong value is named with its path and what is expected`(
        original: String,
        replacement: String,
        path: String,
        problem: String,
    ) {
        val result = assertIs<SettingsResult.Invalid>(NodeSettingsReader.read(valid.replace(original, replacement)))
        assertEquals(listOf(DocumentFault(path, problem)), result.faults.toList())
    }

    @ParameterizedTest
    @CsvSource("{", "[]", "7")
    fun `a text that is no object is one fault`(text: String) {
        val result = assertIs<SettingsResult.Invalid>(NodeSettingsReader.read(text))
        assertEquals("$", result.faults.single().path)
    }
}
