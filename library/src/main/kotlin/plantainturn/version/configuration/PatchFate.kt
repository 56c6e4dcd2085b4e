package plantainturn.version.configuration

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.version.document.DocumentFault

/** What the stream's order made of a patch. It never changes. */
@Serializable
public sealed interface PatchFate {
    /** The patch was accepted and made [version]. */
    @Serializable
    @SerialName("accepted")
    public data class Accepted(
        val version: ConfigurationVersion,
    ) : PatchFate

    /**
     * The patch was refused.
     *
     * @property resultCode the number of the result code
     * @property current the version in force when the patch was judged
     * @property faults the faults of the patched configuration, the first few if there are many
     */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        val resultCode: Int,
        val current: ConfigurationVersion,
        val faults: SerializableList<DocumentFault> = persistentListOf(),
    ) : PatchFate
}
