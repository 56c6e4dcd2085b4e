package plantainturn.connection.roster

import kotlinx.serialization.Serializable

/**
 * The version of the software that an instance runs, not of the weights that it holds.
 *
 * Versions have no order. What instances of two versions write does not fit together in one stream.
 */
@Serializable
@JvmInline
public value class SoftwareVersion(
    public val name: String,
) {
    override fun toString(): String = name

    public companion object {
        /** The version of instances that name none. */
        public val UNNAMED: SoftwareVersion = SoftwareVersion("")
    }
}
