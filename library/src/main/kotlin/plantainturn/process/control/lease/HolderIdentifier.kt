package plantainturn.process.control.lease

import kotlinx.serialization.Serializable

/**
 * Names one run of one node as a holder of leases.
 *
 * A node that starts again has another identifier, so that it never mistakes its predecessor's lease for its own.
 */
@Serializable
@JvmInline
public value class HolderIdentifier(
    public val value: String,
) {
    override fun toString(): String = value
}
