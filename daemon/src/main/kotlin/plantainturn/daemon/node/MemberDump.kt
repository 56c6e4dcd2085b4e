package plantainturn.daemon.node

import kotlinx.serialization.Serializable
import plantainturn.process.membership.Member

/** One member as a state dump shows it. */
@Serializable
internal data class MemberDump(
    val identifier: String,
    val address: String,
    val failureDomain: String,
    val suspected: Boolean,
) {
    companion object {
        /** Returns the dump of [member]. */
        fun of(member: Member): MemberDump =
            MemberDump(member.identifier.value, member.address, member.failureDomain.value, member.suspected)
    }
}
