package plantainturn.daemon.peer

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.OkHttpClient
import okhttp3.Request
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.PeerRecords
import plantainturn.connection.log.ReadResult
import plantainturn.connection.log.RecordSource
import plantainturn.connection.log.StreamName
import plantainturn.process.membership.HttpPeerTransport
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Reads exact records of [stream] from the node at [address]. */
internal class HttpPeerRecordSource(
    private val client: OkHttpClient,
    private val address: String,
    private val stream: StreamName,
    private val peerToken: String,
) : RecordSource {
    override fun read(
        from: LogOffset,
        limit: Int,
        wait: Duration,
    ): ReadResult {
        val request = requestOf(from) ?: return ReadResult.Unavailable("not an address: $address")
        val call = client.newCall(request)
        call.timeout().timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        return try {
            call.execute().use { response ->
                if (response.isSuccessful) decode(response.body.string()) else unavailable("HTTP ${response.code}")
            }
        } catch (exception: IOException) {
            unavailable(exception.message.orEmpty())
        } catch (exception: SerializationException) {
            unavailable(exception.message.orEmpty())
        }
    }

    private fun requestOf(from: LogOffset): Request? {
        val url =
            "$address${PeerApi.RECORDS_PATH}"
                .toHttpUrlOrNull()
                ?.newBuilder()
                ?.addQueryParameter("stream", stream.value)
                ?.addQueryParameter("from", from.value.toString())
                ?.build() ?: return null
        return Request
            .Builder()
            .url(url)
            .header(HttpPeerTransport.TOKEN_HEADER, peerToken)
            .build()
    }

    private fun decode(text: String): ReadResult = Json.decodeFromString(PeerRecords.serializer(), text).toReadResult()

    private fun unavailable(reason: String) = ReadResult.Unavailable("$address: $reason")

    private companion object {
        const val TIMEOUT_SECONDS = 3L
    }
}
