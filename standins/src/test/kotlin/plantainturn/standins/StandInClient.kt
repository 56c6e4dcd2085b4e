package plantainturn.standins

import kotlinx.serialization.KSerializer
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import plantainturn.connection.http.HttpClients
import plantainturn.standins.internal.StandInServer
import kotlin.test.assertTrue

/** Switches faults and reads the truth of the stand-in on [port]. */
class StandInClient(
    private val port: Int,
) {
    val address = "http://127.0.0.1:$port"

    fun <T> switch(
        serializer: KSerializer<T>,
        faults: T,
        path: String = "/standin/faults",
        method: String = "POST",
    ) {
        val body = StandInServer.JSON.encodeToString(serializer, faults).toRequestBody()
        val request =
            Request
                .Builder()
                .url(address + path)
                .method(method, body)
                .build()
        CLIENT.newCall(request).execute().use { assertTrue(it.isSuccessful) }
    }

    fun <T> truth(serializer: KSerializer<T>): T {
        val request = Request.Builder().url("$address/standin/truth").build()
        return CLIENT.newCall(request).execute().use {
            StandInServer.JSON.decodeFromString(serializer, it.body.string())
        }
    }

    /** Reads the truth until [condition] holds; the test's own timeout bounds it. */
    fun <T> awaitTruth(
        serializer: KSerializer<T>,
        condition: (T) -> Boolean,
    ): T {
        var truth = truth(serializer)
        while (!condition(truth)) truth = truth(serializer)
        return truth
    }

    companion object {
        val CLIENT: OkHttpClient = HttpClients.create()
    }
}

/** Returns the address of a port on which nothing listens. */
fun closedAddress(): String {
    val port = ServiceStandIn().use { it.start() }
    return "http://127.0.0.1:$port"
}
