package plantainturn.connection.http

import kotlinx.serialization.SerializationException
import kotlinx.serialization.serializer

/** Returns the answer's body as a [T], or null if it is none. */
internal inline fun <reified T> HttpExchangeResult.Answered.decode(): T? = decodeText(text())

/** Returns the JSON [text] as a [T], or null if it is none. */
internal inline fun <reified T> decodeText(text: String): T? =
    try {
        HttpExchanger.JSON.decodeFromString(serializer<T>(), text)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }

/** Returns the server's error if the answer is one that promises no effect, null otherwise. */
internal fun HttpExchangeResult.Answered.notRunDetail(): ErrorDetail? =
    decode<ErrorAnswer>()?.error?.takeIf {
        it.notRun
    }
