package plantainturn.request

import kotlinx.serialization.Serializable

/** Identifies one request of a caller across all its attempts, in logs, headers and answers. */
@Serializable
@JvmInline
public value class RequestIdentifier(
    public val value: String,
) {
    override fun toString(): String = value
}
