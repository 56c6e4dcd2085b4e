package plantainturn.connection.vm

import okhttp3.OkHttpClient
import okhttp3.Request
import plantainturn.connection.http.HttpExchangeResult
import plantainturn.connection.http.HttpExchanger
import plantainturn.connection.http.decode
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reads the platform's VM list over HTTP by `GET /vms`.
 *
 * @param client the HTTP client that the process shares, usually created by [plantainturn.connection.http.HttpClients]
 * @param address base URL of the VM list service
 * @param timeout the longest time that a read takes
 */
public class HttpVmList(
    client: OkHttpClient,
    address: String,
    private val timeout: Duration = DEFAULT_TIMEOUT,
) : VmList {
    private val exchanger = HttpExchanger(client, address)

    override fun read(): VmListResult =
        when (val result = exchanger.exchange(Request.Builder().url(exchanger.url("vms").build()), timeout)) {
            is HttpExchangeResult.Answered -> resultOf(result)
            is HttpExchangeResult.NotSent -> VmListResult.Unavailable(result.reason)
            is HttpExchangeResult.Unknown -> VmListResult.Unavailable(result.reason)
        }

    private fun resultOf(answer: HttpExchangeResult.Answered): VmListResult {
        val list = if (answer.status == OK) answer.decode<VmListAnswer>() else null
        return if (list != null) VmListResult.Listed(list.vms) else VmListResult.Unavailable("status ${answer.status}")
    }

    private companion object {
        val DEFAULT_TIMEOUT = 2.seconds
        const val OK = 200
    }
}
