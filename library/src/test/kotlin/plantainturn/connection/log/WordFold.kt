package plantainturn.connection.log

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonPrimitive

/** A fold that gathers words. It is not idempotent by itself, so a copy that is folded shows. */
object WordFold : StreamFold<List<String>, String> {
    override val rule: Int = 1
    override val initial: List<String> = emptyList()

    override fun apply(
        state: List<String>,
        offset: LogOffset,
        entries: PersistentList<JsonElement>,
    ): FoldResult<List<String>, String> {
        val words = entries.map { it.jsonPrimitive.content }
        return FoldResult(state + words, words.toPersistentList())
    }

    override fun encode(state: List<String>): JsonElement = JsonArray(state.map(::JsonPrimitive))

    override fun decode(element: JsonElement): List<String> = element.jsonArray.map { it.jsonPrimitive.content }

    /** Returns a record that holds [words]. */
    fun record(
        identifier: String,
        vararg words: String,
        rule: Int = 1,
    ): LogRecord = LogRecord(RecordIdentifier(identifier), RecordCodec.encodeEntries(rule, words.map(::JsonPrimitive)))
}
