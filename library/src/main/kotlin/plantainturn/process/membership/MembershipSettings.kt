package plantainturn.process.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.NodeName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Configures [GossipMembership].
 *
 * @property address base URL at which peers reach this node
 * @property seeds base URLs of nodes to join
 * @property period the interval between the exchanges that this node initiates
 * @property probeTimeout the time within which a member must answer
 * @property indirectProbers number of members asked to probe a member that did not answer
 * @property suspicionPeriods periods that a suspected member has to refute the suspicion, for up to ten members; with
 *   more members the time grows with the logarithm of their number
 * @property maximumMessageBytes the maximum size of a message as JSON, in bytes
 * @property syncPeriods periods between two synchronisations with a peer
 * @property contactPeriods periods between two attempts to reach an address at which no member is known
 * @property urgentFanOut number of members to which an urgent value is sent immediately
 * @property tombstoneLifetime how long the entry of a dead or departed member is kept
 */
public data class MembershipSettings(
    val node: NodeName,
    val address: String,
    val failureDomain: FailureDomain,
    val seeds: PersistentList<String> = persistentListOf(),
    val period: Duration = 1.seconds,
    val probeTimeout: Duration = 400.milliseconds,
    val indirectProbers: Int = 2,
    val suspicionPeriods: Int = 4,
    val maximumMessageBytes: Int = 900,
    val syncPeriods: Int = 10,
    val contactPeriods: Int = 5,
    val urgentFanOut: Int = 3,
    val tombstoneLifetime: Duration = 2.minutes,
)
