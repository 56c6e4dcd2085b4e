package plantainturn.request.quarantine

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import java.nio.ByteBuffer
import java.security.MessageDigest

/** A digest of what a request asks of an upstream; equal if a caller sends the request again. */
@Serializable
@JvmInline
public value class RequestFingerprint(
    public val value: Long,
) {
    override fun toString(): String = java.lang.Long.toHexString(value)

    public companion object {
        /** Returns the fingerprint of a request to [target] with [prompt]. */
        public fun of(
            target: ModelName,
            prompt: String,
        ): RequestFingerprint = digest(target.value, prompt.toByteArray())

        /** Returns the fingerprint of a call to [service] at [path] with [body]. */
        public fun of(
            service: ServiceName,
            path: String,
            body: ByteArray,
        ): RequestFingerprint = digest("$service $path", body)

        private fun digest(
            name: String,
            content: ByteArray,
        ): RequestFingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            digest.update(name.toByteArray())
            digest.update(SEPARATOR)
            digest.update(content)
            return RequestFingerprint(ByteBuffer.wrap(digest.digest()).getLong())
        }

        private const val SEPARATOR: Byte = 0
    }
}
