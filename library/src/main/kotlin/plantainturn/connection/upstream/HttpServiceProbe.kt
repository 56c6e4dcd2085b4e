package plantainturn.connection.upstream

import okhttp3.OkHttpClient
import okhttp3.Request
import plantainturn.connection.http.HttpExchangeResult
import plantainturn.connection.http.HttpExchanger
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Probes by `GET /health`; any answer but a server error counts as one. */
public class HttpServiceProbe(
    private val client: OkHttpClient,
    private val timeout: Duration = DEFAULT_TIMEOUT,
) : ServiceProbe {
    override fun answers(
        upstream: UpstreamName,
        specification: UpstreamSpecification,
    ): Boolean {
        val exchanger = HttpExchanger(client, specification.address)
        val result = exchanger.exchange(Request.Builder().url(exchanger.url("health").build()), timeout)
        return result is HttpExchangeResult.Answered && result.status < FIRST_SERVER_ERROR
    }

    private companion object {
        val DEFAULT_TIMEOUT = 2.seconds
        const val FIRST_SERVER_ERROR = 500
    }
}
