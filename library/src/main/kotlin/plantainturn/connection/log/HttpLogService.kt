package plantainturn.connection.log

import okhttp3.OkHttpClient
import okhttp3.Request
import plantainturn.connection.http.HttpExchangeResult
import plantainturn.connection.http.HttpExchanger
import plantainturn.connection.http.decode
import plantainturn.connection.http.notRunDetail
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The platform's log over HTTP.
 *
 * Records are appended by `POST /streams/{stream}/records` and read by `GET` of the same path with `from`, `limit` and
 * `waitMilliseconds`.
 *
 * @param client the process's client, best made by [plantainturn.connection.http.HttpClients]
 * @param address base URL of the service
 * @param timeout the time that a call may take, the wait of a read not counted
 */
public class HttpLogService(
    client: OkHttpClient,
    address: String,
    private val timeout: Duration = DEFAULT_TIMEOUT,
) : LogService {
    private val exchanger = HttpExchanger(client, address)

    override fun append(
        stream: StreamName,
        record: LogRecord,
    ): AppendResult {
        val body = HttpExchanger.JSON.encodeToString(LogRecord.serializer(), record)
        val request =
            Request
                .Builder()
                .url(exchanger.url("streams", stream.value, "records").build())
                .post(HttpExchanger.jsonBody(body))
        return when (val result = exchanger.exchange(request, timeout)) {
            is HttpExchangeResult.Answered -> appendResult(result)
            is HttpExchangeResult.NotSent -> AppendResult.Refused(result.reason)
            is HttpExchangeResult.Unknown -> AppendResult.Unknown(result.reason)
        }
    }

    override fun read(
        stream: StreamName,
        from: LogOffset,
        limit: Int,
        wait: Duration,
    ): ReadResult {
        val url =
            exchanger
                .url("streams", stream.value, "records")
                .addQueryParameter("from", from.toString())
                .addQueryParameter("limit", limit.toString())
                .addQueryParameter("waitMilliseconds", wait.inWholeMilliseconds.toString())
                .build()
        return when (val result = exchanger.exchange(Request.Builder().url(url), timeout + wait)) {
            is HttpExchangeResult.Answered -> readResult(result, from)
            is HttpExchangeResult.NotSent -> ReadResult.Unavailable(result.reason)
            is HttpExchangeResult.Unknown -> ReadResult.Unavailable(result.reason)
        }
    }

    private fun appendResult(answer: HttpExchangeResult.Answered): AppendResult {
        val appended = if (answer.status == CREATED) answer.decode<AppendAnswer>() else null
        if (appended != null) return AppendResult.Appended(appended.offset)
        val refusal = if (answer.status >= FIRST_ERROR_STATUS) answer.notRunDetail() else null
        return if (refusal != null) {
            AppendResult.Refused(refusal.message)
        } else {
            AppendResult.Unknown("status ${answer.status}")
        }
    }

    private fun readResult(
        answer: HttpExchangeResult.Answered,
        from: LogOffset,
    ): ReadResult =
        when (answer.status) {
            OK -> answer.decode<ReadAnswer>()?.let { recordsOf(it, from) }
            GONE -> answer.decode<ExpiredAnswer>()?.let { ReadResult.Expired(it.oldest) }
            else -> null
        } ?: ReadResult.Unavailable("status ${answer.status} with an answer that is not the log's")

    private fun recordsOf(
        answer: ReadAnswer,
        from: LogOffset,
    ): ReadResult.Records? {
        val consecutive =
            answer.records.withIndex().all { (index, stored) ->
                stored.offset.value == from.value + index
            }
        return if (consecutive) ReadResult.Records(answer.records, answer.end) else null
    }

    private companion object {
        val DEFAULT_TIMEOUT = 3.seconds
        const val OK = 200
        const val CREATED = 201
        const val FIRST_ERROR_STATUS = 400
        const val GONE = 410
    }
}
