package plantainturn.process.membership

import plantainturn.version.configuration.FailureDomain

/**
 * One node as this one believes it to be.
 *
 * @property address base URL at which its peers reach it
 * @property suspected whether it recently failed to answer
 */
public data class Member(
    val identifier: MemberIdentifier,
    val address: String,
    val failureDomain: FailureDomain,
    val suspected: Boolean,
)
