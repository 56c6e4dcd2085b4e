package plantainturn.daemon.http

import io.javalin.http.Context
import kotlinx.serialization.json.Json
import plantainturn.process.ResultCode
import plantainturn.request.RequestIdentifier
import kotlin.time.Duration

/** Writes results with their number to HTTP answers. */
internal object ResultWriter {
    const val REQUEST_HEADER = "X-Request-Id"
    const val CODE_HEADER = "X-Result-Code"
    private const val RETRY_HEADER = "Retry-After"
    private const val JSON_TYPE = "application/json"
    private val json = Json { explicitNulls = false }

    /** Names the request and its result in the answer's header. */
    fun writeHeaders(
        context: Context,
        request: RequestIdentifier,
        code: ResultCode,
    ) {
        context.header(REQUEST_HEADER, request.value)
        context.header(CODE_HEADER, code.number.toString())
    }

    /** Writes an answer that carries [code] and no result of an upstream. */
    fun writeError(
        context: Context,
        request: RequestIdentifier,
        code: ResultCode,
        detail: String,
        retryAfter: Duration? = null,
    ) {
        writeHeaders(context, request, code)
        if (retryAfter != null) context.header(RETRY_HEADER, wholeSeconds(retryAfter).toString())
        context.status(code.httpStatus)
        context.contentType(JSON_TYPE)
        context.result(encodeError(request, code, detail, retryAfter))
    }

    /** Returns the JSON text of an error. */
    fun encodeError(
        request: RequestIdentifier,
        code: ResultCode,
        detail: String,
        retryAfter: Duration? = null,
    ): String {
        val error =
            ErrorBody(
                message = detail.ifEmpty { code.summary },
                type = code.outcome.name.lowercase(),
                code = code.number,
                name = code.name.lowercase(),
                request = request.value,
                retryAfterMilliseconds = retryAfter?.inWholeMilliseconds,
            )
        return json.encodeToString(ErrorEnvelope(error))
    }

    private fun wholeSeconds(duration: Duration): Long {
        val seconds = duration.inWholeSeconds
        return if (duration.inWholeMilliseconds > seconds * MILLISECONDS_PER_SECOND) seconds + 1 else seconds
    }

    private const val MILLISECONDS_PER_SECOND = 1_000L
}
