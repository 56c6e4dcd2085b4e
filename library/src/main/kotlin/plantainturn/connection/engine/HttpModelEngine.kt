package plantainturn.connection.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import okhttp3.Call
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response
import plantainturn.connection.http.ErrorAnswer
import plantainturn.connection.http.HttpExchangeResult
import plantainturn.connection.http.HttpExchanger
import plantainturn.connection.http.ReadTimeout
import plantainturn.connection.http.SendEvidence
import plantainturn.connection.http.decode
import plantainturn.connection.http.decodeText
import plantainturn.connection.http.notRunDetail
import plantainturn.connection.http.sendingAtMostOnce
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One model engine over HTTP, in the convention of completions with server-sent events.
 *
 * An attempt counts as not run only if no byte of it was sent or the engine answered with an error that promises so.
 *
 * @param client the process's client, best made by [plantainturn.connection.http.HttpClients]
 * @param address base URL of the engine
 * @param controlTimeout the time that reports, orders and reads of cache events may take
 */
public class HttpModelEngine(
    client: OkHttpClient,
    address: String,
    private val controlTimeout: Duration = DEFAULT_CONTROL_TIMEOUT,
) : ModelEngine {
    private val client = client.sendingAtMostOnce()
    private val exchanger = HttpExchanger(client, address)

    override fun generate(
        request: GenerationRequest,
        silenceLimit: Duration,
        receiver: TokenReceiver,
    ): GenerationEnd {
        val evidence = SendEvidence()
        val call = client.newCall(completionsRequest(request, evidence, silenceLimit))
        return try {
            call.execute().use { endOf(it, call, silenceLimit, receiver) }
        } catch (exception: IOException) {
            call.cancel()
            when (val failure = HttpExchanger.failure(evidence, exception)) {
                is HttpExchangeResult.NotSent -> GenerationEnd.Unreachable(failure.reason)
                else -> GenerationEnd.Broken(exception.message ?: exception.javaClass.simpleName)
            }
        }
    }

    override fun cancel(
        request: RequestIdentifier,
        attempt: AttemptNumber,
    ) {
        val url = exchanger.url("v1", "requests", request.value, attempt.toString()).build()
        exchanger.exchange(Request.Builder().url(url).delete(), controlTimeout)
    }

    override fun report(): EngineReportResult =
        when (val result = exchanger.exchange(get("engine", "report"), controlTimeout)) {
            is HttpExchangeResult.Answered -> reported(result)
            is HttpExchangeResult.NotSent -> EngineReportResult.Unavailable(result.reason)
            is HttpExchangeResult.Unknown -> EngineReportResult.Unavailable(result.reason)
        }

    override fun order(order: EngineOrder): OrderResult {
        val body = HttpExchanger.JSON.encodeToString(EngineOrder.serializer(), order)
        val request =
            Request
                .Builder()
                .url(exchanger.url("engine", "orders").build())
                .post(HttpExchanger.jsonBody(body))
        return when (val result = exchanger.exchange(request, controlTimeout)) {
            is HttpExchangeResult.Answered -> orderResult(result)
            is HttpExchangeResult.NotSent -> OrderResult.Refused("not sent: ${result.reason}")
            is HttpExchangeResult.Unknown -> OrderResult.Unknown(result.reason)
        }
    }

    override fun cacheEvents(from: Long): PersistentList<CacheEvent> {
        val url = exchanger.url("engine", "cache-events").addQueryParameter("from", from.toString()).build()
        val answer = exchanger.exchange(Request.Builder().url(url), controlTimeout) as? HttpExchangeResult.Answered
        return answer?.decode<CacheEventsAnswer>()?.events ?: persistentListOf()
    }

    private fun get(vararg segments: String): Request.Builder =
        Request
            .Builder()
            .url(exchanger.url(*segments).build())

    private fun completionsRequest(
        request: GenerationRequest,
        evidence: SendEvidence,
        silenceLimit: Duration,
    ): Request {
        val body = HttpExchanger.JSON.encodeToString(CompletionsBody.serializer(), CompletionsBody.of(request))
        return Request
            .Builder()
            .url(exchanger.url("v1", "completions").build())
            .header("Accept", "text/event-stream")
            .tag(SendEvidence::class, evidence)
            .tag(ReadTimeout::class, ReadTimeout(silenceLimit))
            .post(HttpExchanger.jsonBody(body))
            .build()
    }

    private fun endOf(
        response: Response,
        call: Call,
        silenceLimit: Duration,
        receiver: TokenReceiver,
    ): GenerationEnd {
        if (response.code == OK) return CompletionsStream(call, silenceLimit, receiver).read(response.body.source())
        val text = response.peekBody(MAXIMUM_ERROR_BYTES).string()
        val error = decodeText<ErrorAnswer>(text)?.error
        val reason = "status ${response.code}: ${error?.message.orEmpty()}"
        val refused = response.code >= FIRST_ERROR_STATUS && error?.notRun == true
        return if (refused) GenerationEnd.RefusedNotRun(reason) else GenerationEnd.Broken(reason)
    }

    private fun reported(answer: HttpExchangeResult.Answered): EngineReportResult {
        val report = if (answer.status == OK) answer.decode<EngineReport>() else null
        return if (report != null) {
            EngineReportResult.Reported(report)
        } else {
            EngineReportResult.Unavailable("status ${answer.status}")
        }
    }

    private fun orderResult(answer: HttpExchangeResult.Answered): OrderResult {
        if (answer.status == ACCEPTED) return OrderResult.Accepted
        val stale = if (answer.status == CONFLICT) answer.decode<StaleFenceAnswer>() else null
        if (stale != null) return OrderResult.StaleFence(stale.highestFence)
        val refusal = if (answer.status >= FIRST_ERROR_STATUS) answer.notRunDetail() else null
        return if (refusal != null) {
            OrderResult.Refused(refusal.message)
        } else {
            OrderResult.Unknown("status ${answer.status}")
        }
    }

    private companion object {
        val DEFAULT_CONTROL_TIMEOUT = 2.seconds
        const val OK = 200
        const val ACCEPTED = 202
        const val CONFLICT = 409
        const val FIRST_ERROR_STATUS = 400
        const val MAXIMUM_ERROR_BYTES = 65_536L
    }
}
