package plantainturn.daemon.caller

import io.javalin.http.Context
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import plantainturn.connection.service.HttpField
import plantainturn.connection.service.ServiceResult
import plantainturn.daemon.http.ResultWriter
import plantainturn.process.ResultCode
import plantainturn.process.time.TimerService
import plantainturn.request.RequestIdentifier
import plantainturn.request.service.ServiceHandler
import plantainturn.request.service.ServiceOutcome
import plantainturn.request.service.ServiceRequest
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.TeamName

/** Serves calls to plain services. */
internal class ServiceEndpoint(
    private val handler: ServiceHandler,
    private val timer: TimerService,
) {
    /** Serves the request in [context] for [team], on the calling thread. */
    fun serve(
        context: Context,
        identifier: RequestIdentifier,
        team: TeamName,
        body: ByteArray,
    ): ResultCode {
        val key = context.header(KEY_HEADER)
        if (key != null && !KEY_FORM.matches(key)) {
            val problem = "$KEY_HEADER must have 1 to 128 visible characters"
            ResultWriter.writeError(context, identifier, ResultCode.MALFORMED_REQUEST, problem)
            return ResultCode.MALFORMED_REQUEST
        }
        val outcome = handler.handle(requestOf(context, identifier, team, body, key))
        when (outcome) {
            is ServiceOutcome.Answered -> writeAnswer(context, identifier, outcome)
            is ServiceOutcome.Unanswered ->
                ResultWriter.writeError(context, identifier, outcome.code, outcome.detail, outcome.retryAfter)
        }
        return outcome.code
    }

    private fun requestOf(
        context: Context,
        identifier: RequestIdentifier,
        team: TeamName,
        body: ByteArray,
        key: String?,
    ) = ServiceRequest(
        identifier = identifier,
        team = team,
        service = ServiceName(context.pathParam("name")),
        method = context.req().method.uppercase(),
        path = pathBelowService(context),
        headers = forwardedFields(context),
        body = body,
        idempotencyKey = key,
        receivedAt = timer.now(),
    )

    private fun pathBelowService(context: Context): String {
        val raw = context.req().requestURI.removePrefix(PREFIX)
        val path = raw.substring(raw.indexOf('/').takeIf { it >= 0 } ?: raw.length).ifEmpty { "/" }
        val query = context.queryString()
        return if (query == null) path else "$path?$query"
    }

    private fun forwardedFields(context: Context): PersistentList<HttpField> =
        context
            .headerMap()
            .filterKeys { it.lowercase() in FORWARDED_REQUEST_FIELDS }
            .map { (name, value) -> HttpField(name, value) }
            .toPersistentList()

    private fun writeAnswer(
        context: Context,
        identifier: RequestIdentifier,
        outcome: ServiceOutcome.Answered,
    ) {
        ResultWriter.writeHeaders(context, identifier, outcome.code)
        val answer: ServiceResult.Answered = outcome.answer
        for (field in answer.headers) {
            if (field.name.lowercase() in FORWARDED_ANSWER_FIELDS) context.header(field.name, field.value)
        }
        context.status(answer.status)
        context.result(answer.body)
    }

    private companion object {
        const val PREFIX = "/services/"
        const val KEY_HEADER = "Idempotency-Key"
        val KEY_FORM = Regex("[\\x21-\\x7e]{1,128}")
        val FORWARDED_REQUEST_FIELDS = setOf("accept", "accept-language", "content-type", "if-match", "if-none-match")
        val FORWARDED_ANSWER_FIELDS = setOf("content-type", "etag", "last-modified", "location", "cache-control")
    }
}
