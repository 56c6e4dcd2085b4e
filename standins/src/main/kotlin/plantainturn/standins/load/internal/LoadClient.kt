package plantainturn.standins.load.internal

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.standins.DeterministicAnswer
import plantainturn.standins.load.LoadSettings
import plantainturn.version.configuration.ModelName
import java.io.IOException
import kotlin.time.DurationUnit

/** Sends single requests as a caller does and judges their answers. */
internal class LoadClient(
    private val settings: LoadSettings,
    private val client: OkHttpClient,
    private val timer: TimerService,
) {
    /** Asks [node] for an answer of [tokens] tokens and checks it whole. */
    fun complete(
        node: String,
        model: String,
        prompt: String,
        tokens: Int,
    ): EndedRequest {
        val began = timer.now()
        val body =
            buildJsonObject {
                put("model", model)
                put("prompt", prompt)
                put("max_tokens", tokens)
                put("stream", true)
            }
        val request = request("$node/v1/completions").post(body.toString().toRequestBody(JSON_TYPE)).build()
        val expected = DeterministicAnswer(ModelName(model), prompt).text(0, tokens)
        return try {
            client.newCall(request).execute().use { readAnswer(it, began, expected) }
        } catch (_: IOException) {
            EndedRequest(AnswerOutcome.UNKNOWN, 0)
        }
    }

    /** Calls the service at [node] under [key]. */
    fun call(
        node: String,
        key: String,
    ): EndedCall {
        val request =
            request("$node/services/${settings.service}/orders")
                .header("Idempotency-Key", key)
                .post("""{"part":"$key"}""".toRequestBody(JSON_TYPE))
                .build()
        return try {
            client.newCall(request).execute().use { response ->
                val text = response.body.string()
                val outcome = if (response.isSuccessful) AnswerOutcome.ANSWERED else outcomeOf(errorOf(text))
                EndedCall(key, outcome, codeOf(response))
            }
        } catch (_: IOException) {
            EndedCall(key, AnswerOutcome.UNKNOWN, 0)
        }
    }

    private fun request(url: String): Request.Builder =
        Request.Builder().url(url).header("Authorization", "Bearer ${settings.teamKey}")

    private fun readAnswer(
        response: Response,
        began: Moment,
        expected: String,
    ): EndedRequest {
        if (!response.isSuccessful) {
            return EndedRequest(outcomeOf(errorOf(response.body.string())), codeOf(response))
        }
        val text = StringBuilder()
        val arrivals = mutableListOf<Moment>()
        while (true) {
            val line = response.body.source().readUtf8Line() ?: return EndedRequest(AnswerOutcome.UNKNOWN, 0)
            if (!line.startsWith(DATA_PREFIX)) continue
            val data = line.removePrefix(DATA_PREFIX).trim()
            if (data == "[DONE]") return judged(text.toString() == expected, codeOf(response), began, arrivals)
            val event = Json.parseToJsonElement(data).jsonObject
            val error = event["error"]?.jsonObject
            if (error != null) return EndedRequest(outcomeOf(error), error["code"]?.jsonPrimitive?.intOrNull ?: 0)
            val piece = textOf(event)
            if (piece.isNotEmpty()) arrivals += timer.now()
            text.append(piece)
        }
    }

    private fun judged(
        right: Boolean,
        code: Int,
        began: Moment,
        arrivals: List<Moment>,
    ): EndedRequest {
        val outcome = if (right) AnswerOutcome.ANSWERED else AnswerOutcome.WRONG
        val first = arrivals.firstOrNull()?.let { milliseconds(began, it) }
        val gaps = arrivals.zipWithNext { earlier, later -> milliseconds(earlier, later) }
        return EndedRequest(outcome, code, first, gaps)
    }

    private fun textOf(event: JsonObject): String =
        event["choices"]
            ?.jsonArray
            ?.firstOrNull()
            ?.jsonObject
            ?.get("text")
            ?.jsonPrimitive
            ?.contentOrNull
            .orEmpty()

    private fun errorOf(text: String): JsonObject? =
        try {
            Json.parseToJsonElement(text).jsonObject["error"]?.jsonObject
        } catch (_: IllegalArgumentException) {
            null
        }

    private fun outcomeOf(error: JsonObject?): AnswerOutcome =
        when (error?.get("type")?.jsonPrimitive?.contentOrNull) {
            "not_run" -> AnswerOutcome.NOT_RUN
            "failed" -> AnswerOutcome.FAILED
            else -> AnswerOutcome.UNKNOWN
        }

    private fun codeOf(response: Response): Int = response.header("X-Result-Code")?.toIntOrNull() ?: 0

    private fun milliseconds(
        from: Moment,
        to: Moment,
    ): Double = (to - from).toDouble(DurationUnit.MILLISECONDS)

    private companion object {
        const val DATA_PREFIX = "data:"
        val JSON_TYPE = "application/json".toMediaType()
    }
}
