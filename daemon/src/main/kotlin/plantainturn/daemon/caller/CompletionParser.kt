package plantainturn.daemon.caller

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import plantainturn.request.RequestPriority
import plantainturn.version.configuration.ModelName

/** Reads the JSON body of a completion request in either convention. Fields that are not used are ignored. */
internal object CompletionParser {
    private const val DEFAULT_MAXIMUM_TOKENS = 256
    private const val LARGEST_MAXIMUM_TOKENS = 32_768
    private const val LONGEST_NAME = 256

    fun parse(
        convention: CompletionConvention,
        body: String,
    ): ParsedCompletion =
        try {
            val root = Json.parseToJsonElement(body)
            if (root is JsonObject) read(convention, root) else ParsedCompletion.Malformed("the body must be an object")
        } catch (exception: SerializationException) {
            ParsedCompletion.Malformed("the body is not JSON: ${exception.message?.lineSequence()?.first()}")
        } catch (exception: MalformedBody) {
            ParsedCompletion.Malformed(exception.problem)
        } catch (_: StackOverflowError) {
            ParsedCompletion.Malformed("the body is nested too deeply")
        }

    private fun read(
        convention: CompletionConvention,
        root: JsonObject,
    ) = ParsedCompletion.Valid(
        target = readTarget(root),
        prompt = if (convention == CompletionConvention.CHAT) readMessages(root) else readPrompt(root),
        maximumTokens = readMaximumTokens(root),
        stream = readStream(root),
        priority = readPriority(root),
    )

    private fun readTarget(root: JsonObject): ModelName {
        val name = text(root["model"], "model")
        if (name.isEmpty() || name.length > LONGEST_NAME) fail("model must have 1 to $LONGEST_NAME characters")
        return ModelName(name)
    }

    private fun readPrompt(root: JsonObject): String = text(root["prompt"], "prompt")

    private fun readMessages(root: JsonObject): String {
        val messages = root["messages"] as? JsonArray ?: fail("messages must be an array")
        if (messages.isEmpty()) fail("messages must not be empty")
        return messages.withIndex().joinToString("\n") { (index, message) -> readMessage(message, index) }
    }

    private fun readMessage(
        message: JsonElement,
        index: Int,
    ): String {
        val fields = message as? JsonObject ?: fail("messages[$index] must be an object")
        val role = text(fields["role"], "messages[$index].role")
        val content = text(fields["content"], "messages[$index].content")
        return "$role: $content"
    }

    private fun readMaximumTokens(root: JsonObject): Int {
        val element = root["max_completion_tokens"] ?: root["max_tokens"] ?: return DEFAULT_MAXIMUM_TOKENS
        val tokens = (element as? JsonPrimitive)?.takeIf { !it.isString }?.intOrNull
        if (tokens == null || tokens !in 1..LARGEST_MAXIMUM_TOKENS) {
            fail("max_tokens must be a whole number from 1 to $LARGEST_MAXIMUM_TOKENS (tokens)")
        }
        return tokens
    }

    private fun readStream(root: JsonObject): Boolean {
        val element = root["stream"] ?: return false
        return (element as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
            ?: fail("stream must be true or false")
    }

    private fun readPriority(root: JsonObject): RequestPriority {
        val element = root["priority"] ?: return RequestPriority.INTERACTIVE
        val name = text(element, "priority")
        return RequestPriority.entries.firstOrNull { it.name.lowercase() == name }
            ?: fail("priority must be interactive or batch")
    }

    private fun text(
        element: JsonElement?,
        name: String,
    ): String = (element as? JsonPrimitive)?.takeIf { it.isString }?.content ?: fail("$name must be a text")

    private fun fail(problem: String): Nothing = throw MalformedBody(problem)

    private class MalformedBody(
        val problem: String,
    ) : IllegalArgumentException(problem)
}
