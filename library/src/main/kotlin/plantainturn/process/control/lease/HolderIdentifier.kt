package plantainturn.process.control.lease

import kotlinx.serialization.Serializable

/**
 * Identifies one run of one node as a holder of leases.
 *
 * A restarted node has a new identifier, so it never mistakes the lease of its previous run for its own.
 */
@Serializable
@JvmInline
public value class HolderIdentifier(
    public val value: String,
) {
    override fun toString(): String = value
}
