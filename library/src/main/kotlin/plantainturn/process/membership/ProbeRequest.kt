package plantainturn.process.membership

import kotlinx.serialization.Serializable

/** Asks a peer to probe [member] at [address] on behalf of the sender. */
@Serializable
public data class ProbeRequest(
    val member: MemberIdentifier,
    val address: String,
)
