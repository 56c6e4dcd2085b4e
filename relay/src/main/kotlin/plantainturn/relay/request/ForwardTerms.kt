package plantainturn.relay.request

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.Base64

/**
 * The terms on which a node hands a request to another one, sent along in the header [HEADER].
 *
 * The first node has checked the caller's account and charged its quota, and counts the request; the second one sends
 * it to instances and counts what comes of that. It never hands the request on.
 *
 * @property attempts the number of instances that may still run the request
 * @property account the name of the caller's client account, null if it has none
 * @property hasAccounts whether the configuration has client accounts
 */
@Serializable
internal data class ForwardTerms(
    val attempts: Int,
    val account: String?,
    val hasAccounts: Boolean,
) {
    /** Returns the value of the header. */
    fun encode(): String = Base64.getEncoder().encodeToString(Json.encodeToString(serializer(), this).toByteArray())

    companion object {
        /** Only on the address for peers; elsewhere it has no meaning. */
        const val HEADER = "Plantainturn-Forwarded"
        private val FORMAT = Json { ignoreUnknownKeys = true }

        /** Returns the terms in the [value] of the header, or null if it is unreadable. */
        fun decode(value: String): ForwardTerms? =
            try {
                FORMAT.decodeFromString(serializer(), Base64.getDecoder().decode(value).decodeToString())
            } catch (_: SerializationException) {
                null
            } catch (_: IllegalArgumentException) {
                null
            }
    }
}
