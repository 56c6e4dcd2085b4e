package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/** Names a patch, so that sending it again gives the fate of the first time. Chosen by the operator's side. */
@Serializable
@JvmInline
public value class PatchIdentifier(
    public val value: String,
) {
    override fun toString(): String = value
}
