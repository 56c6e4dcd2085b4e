package plantainturn.process.membership

import plantainturn.version.configuration.FailureDomain

/**
 * A node that is believed to be running.
 *
 * @property address base URL at which its peers reach it
 * @property suspected whether the member is suspected because it failed to answer
 */
public data class Member(
    val identifier: MemberIdentifier,
    val address: String,
    val failureDomain: FailureDomain,
    val suspected: Boolean,
)
