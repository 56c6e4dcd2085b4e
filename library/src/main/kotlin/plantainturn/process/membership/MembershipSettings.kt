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
 * Settings of [GossipMembership].
 *
 * @property address base URL at which peers reach this node
 * @property seeds base URLs of nodes to join
 * @property period the time between two exchanges that this node begins
 * @property probeTimeout the time that a member has to answer
 * @property helpers members that are asked to try a member that did not answer
 * @property suspicionPeriods periods that a suspected member has to contradict, at ten members; more members have more
 * @property messageBytes bytes of a message, as JSON
 * @property syncPeriods periods between two synchronisations with a peer
 * @property contactPeriods periods between two attempts to reach an address at which no member is believed to be
 * @property urgentFanOut members to whom an urgent value is passed on at once
 * @property memory how long it is remembered that a member is gone
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
