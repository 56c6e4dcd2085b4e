package plantainturn.daemon.http

import io.javalin.http.Context
import java.security.MessageDigest

/** The secret that a request carries in its `Authorization` field. */
internal class BearerToken private constructor(
    private val sha256: ByteArray,
) {
    /** Returns whether the token's SHA-256 is [expected], in lower-case hexadecimal. Takes constant time. */
    fun matchesSha256(expected: String): Boolean =
        MessageDigest.isEqual(sha256.toHexString().toByteArray(), expected.toByteArray())

    companion object {
        private const val FIELD = "Authorization"
        private const val SCHEME = "Bearer "

        /** Returns the token of the request, or null if it carries none. */
        fun of(context: Context): BearerToken? {
            val value = context.header(FIELD) ?: return null
            if (!value.startsWith(SCHEME, ignoreCase = true)) return null
            val secret = value.substring(SCHEME.length).trim()
            return BearerToken(MessageDigest.getInstance("SHA-256").digest(secret.toByteArray()))
        }
    }
}
