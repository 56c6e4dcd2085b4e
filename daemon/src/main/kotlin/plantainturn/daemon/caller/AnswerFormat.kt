package plantainturn.daemon.caller

import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import plantainturn.request.RequestIdentifier
import plantainturn.version.configuration.ModelName

/** Formats the answer to one request in the convention that its caller uses. */
internal class AnswerFormat(
    private val convention: CompletionConvention,
    private val request: RequestIdentifier,
    private val model: ModelName,
) {
    /** Returns the JSON text of a whole answer. */
    fun whole(
        text: String,
        tokens: Int,
        reason: String,
    ): String =
        buildJsonObject {
            put("id", convention.identifierPrefix + request.value)
            put("object", convention.answerObject)
            put("model", model.value)
            putJsonArray("choices") {
                add(wholeChoice(text, reason))
            }
            putJsonObject("usage") { put("completion_tokens", tokens) }
        }.toString()

    /** Returns the JSON text of one streamed token. */
    fun chunk(text: String): String = chunkWith(chunkChoice(text, reason = null))

    /** Returns the JSON text of the last streamed part, which carries the reason. */
    fun end(reason: String): String = chunkWith(chunkChoice(text = null, reason = reason))

    private fun chunkWith(choice: JsonObject): String =
        buildJsonObject {
            put("id", convention.identifierPrefix + request.value)
            put("object", convention.chunkObject)
            put("model", model.value)
            putJsonArray("choices") { add(choice) }
        }.toString()

    private fun wholeChoice(
        text: String,
        reason: String,
    ) = buildJsonObject {
        put("index", 0)
        if (convention == CompletionConvention.CHAT) {
            putJsonObject("message") {
                put("role", "assistant")
                put("content", text)
            }
        } else {
            put("text", text)
        }
        put("finish_reason", reason)
    }

    private fun chunkChoice(
        text: String?,
        reason: String?,
    ) = buildJsonObject {
        put("index", 0)
        if (convention == CompletionConvention.CHAT) {
            putJsonObject("delta") { if (text != null) put("content", text) }
        } else {
            put("text", text.orEmpty())
        }
        if (reason == null) put("finish_reason", JsonNull) else put("finish_reason", reason)
    }
}
