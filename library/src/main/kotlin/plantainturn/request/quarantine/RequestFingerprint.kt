package plantainturn.request.quarantine

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * A digest by which a request is recognized.
 *
 * It is of what the request asks of an upstream, and equal if a caller sends it again; or of a part of its prompt,
 * which other requests may share.
 */
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

        /**
         * Returns the fingerprint of a request with [method] for [target] at [host] with [body].
         *
         * It is the same whichever service the request is routed to.
         */
        public fun of(
            method: String,
            host: String,
            target: String,
            body: ByteArray,
        ): RequestFingerprint = digest("$method ${host.lowercase()} $target", body)

        /** Returns the fingerprint of the prompt part named [part], whichever service gets it. */
        public fun ofPart(part: String): RequestFingerprint = digest("part", part.toByteArray())

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
