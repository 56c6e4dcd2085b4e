package plantainturn.daemon.command

import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import plantainturn.connection.http.HttpClients
import java.io.IOException
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Calls a node's operator interface. */
internal class OperatorClient(
    private val node: String,
    private val token: String,
) {
    private val client =
        HttpClients
            .create(CONNECT_TIMEOUT)
            .newBuilder()
            .readTimeout(READ_TIMEOUT.toJavaDuration())
            .build()

    /** Reads [path]. */
    fun get(path: String): OperatorAnswer = execute(request(path).get().build())

    /** Submits a configuration patch that was made against [version]. */
    fun patch(
        patch: String,
        version: Long,
        identifier: String,
    ): OperatorAnswer {
        val body = patch.toRequestBody("application/merge-patch+json".toMediaType())
        val request =
            request("/configuration")
                .header("If-Match", "\"$version\"")
                .header("X-Patch-Identifier", identifier)
                .patch(body)
                .build()
        return execute(request)
    }

    private fun request(path: String) = Request.Builder().url(node + path).header("Authorization", "Bearer $token")

    private fun execute(request: Request): OperatorAnswer =
        try {
            client.newCall(request).execute().use { response ->
                OperatorAnswer.Answered(
                    response.code,
                    response.header("ETag")?.trim('"')?.toLongOrNull(),
                    response.body.string(),
                )
            }
        } catch (exception: IOException) {
            OperatorAnswer.Unanswered("$node does not answer: ${exception.message}")
        }

    private companion object {
        val CONNECT_TIMEOUT = 5.seconds
        val READ_TIMEOUT = 60.seconds
    }
}
