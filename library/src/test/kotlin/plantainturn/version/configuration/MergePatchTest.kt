package plantainturn.version.configuration

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

class MergePatchTest {
    @TestFactory
    fun `a merge patch does what RFC 7396 says`(): List<DynamicTest> =
        CASES.trim().lines().map { line ->
            val (target, patch, result) = line.split('|').map { it.trim() }
            DynamicTest.dynamicTest(line.trim()) { verify(target, patch, result) }
        }

    private fun verify(
        target: String,
        patch: String,
        result: String,
    ) {
        val patched = MergePatch.apply(Json.parseToJsonElement(target), Json.parseToJsonElement(patch))
        assertEquals(Json.parseToJsonElement(result), patched)
    }

    private companion object {
        const val CASES =
            """
        {"a":"b"}            | {"a":"c"}               | {"a":"c"}
        {"a":"b"}            | {"b":"c"}               | {"a":"b","b":"c"}
        {"a":"b"}            | {"a":null}              | {}
        {"a":"b","b":"c"}    | {"a":null}              | {"b":"c"}
        {"a":["b"]}          | {"a":"c"}               | {"a":"c"}
        {"a":"c"}            | {"a":["b"]}             | {"a":["b"]}
        {"a":{"b":"c"}}      | {"a":{"b":"d","c":null}}| {"a":{"b":"d"}}
        {"a":[{"b":"c"}]}    | {"a":[1]}               | {"a":[1]}
        ["a","b"]            | ["c","d"]               | ["c","d"]
        {"a":"b"}            | ["c"]                   | ["c"]
        {"a":"foo"}          | null                    | null
        {"e":null}           | {"a":1}                 | {"e":null,"a":1}
        [1,2]                | {"a":"b","c":null}      | {"a":"b"}
        {}                   | {"a":{"bb":{"ccc":null}}}| {"a":{"bb":{}}}
            """
    }
}
