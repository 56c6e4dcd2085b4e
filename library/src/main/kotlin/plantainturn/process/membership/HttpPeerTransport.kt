package plantainturn.process.membership

import okhttp3.Call
import okhttp3.Callback
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Sends messages as JSON with `POST /peer/gossip`.
 *
 * @param client the HTTP client of the process
 * @param peerToken the secret shared by all nodes, sent in [TOKEN_HEADER]
 */
public class HttpPeerTransport(
    private val client: OkHttpClient,
    private val peerToken: String,
) : PeerTransport {
    override fun exchange(
        address: String,
        message: GossipMessage,
        timeout: Duration,
        onResult: (PeerResult) -> Unit,
    ) {
        val url = "${address.trimEnd('/')}$PATH".toHttpUrlOrNull()
        if (url == null) {
            onResult(PeerResult.Failed("invalid peer address: $address"))
            return
        }
        val request =
            Request
                .Builder()
                .url(url)
                .header(TOKEN_HEADER, peerToken)
                .post(GossipJson.encode(message).toRequestBody(MEDIA_TYPE))
                .build()
        val call = client.newCall(request)
        call.timeout().timeout(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        call.enqueue(ResultCallback(onResult))
    }

    private class ResultCallback(
        private val onResult: (PeerResult) -> Unit,
    ) : Callback {
        override fun onFailure(
            call: Call,
            e: IOException,
        ): Unit = onResult(PeerResult.Failed(e.message ?: e.javaClass.simpleName))

        override fun onResponse(
            call: Call,
            response: Response,
        ): Unit = onResult(resultOf(response))

        private fun resultOf(response: Response): PeerResult {
            val text =
                try {
                    response.use { it.peekBody(MAXIMUM_BYTES).string() }
                } catch (exception: IOException) {
                    return PeerResult.Failed(exception.message ?: exception.javaClass.simpleName)
                }
            val message = if (response.isSuccessful) GossipJson.decode(text) else null
            return if (message != null) PeerResult.Answered(message) else PeerResult.Failed("status ${response.code}")
        }
    }

    public companion object {
        /** The path at which a node receives messages. */
        public const val PATH: String = "/peer/gossip"

        /** The header that carries the secret shared by all nodes. */
        public const val TOKEN_HEADER: String = "Plantainturn-Peer-Token"

        private const val MAXIMUM_BYTES = 65_536L
        private val MEDIA_TYPE = "application/json".toMediaType()
    }
}
