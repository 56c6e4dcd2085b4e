package plantainturn.daemon.command

import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Calls a node's operator interface. */
internal class OperatorClient(
    private val node: String,
    private val token: String,
) {
    private val client =
        OkHttpClient
            .Builder()
            .connectTimeout(CONNECT_SECONDS, TimeUnit.SECONDS)
            .readTimeout(READ_SECONDS, TimeUnit.SECONDS)
            .retryOnConnectionFailure(false)
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
        const val CONNECT_SECONDS = 5L
        const val READ_SECONDS = 60L
    }
}
