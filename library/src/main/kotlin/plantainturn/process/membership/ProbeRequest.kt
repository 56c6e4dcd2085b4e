package plantainturn.process.membership

import kotlinx.serialization.Serializable

/** Asks a peer to find out whether [member] answers at [address]. */
@Serializable
public data class ProbeRequest(
    val member: MemberIdentifier,
    val address: String,
)
