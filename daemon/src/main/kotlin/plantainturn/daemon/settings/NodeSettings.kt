package plantainturn.daemon.settings

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.NodeName
import plantainturn.version.configuration.RegionName
import plantainturn.version.configuration.SerializableList

/**
 * The settings of one node, read from a JSON file.
 *
 * @property name unique among the nodes that run at one time
 * @property shard the shard of upstreams that this node may control
 * @property callers where callers connect
 * @property control where operators and peers connect; callers must not reach it
 * @property peers base URLs of the control addresses of nodes to join; may be empty for the first
 */
@Serializable
public data class NodeSettings(
    val name: NodeName,
    val failureDomain: FailureDomain,
    val region: RegionName,
    val shard: String,
    val callers: ListenSettings,
    val control: ListenSettings,
    val operatorTokenSha256: String,
    val peerToken: String,
    val log: PlatformSettings,
    val vmList: PlatformSettings,
    val peers: SerializableList<String> = persistentListOf(),
    val limits: LimitSettings = LimitSettings(),
    val lease: LeaseSettings = LeaseSettings(),
    val stop: StopSettings = StopSettings(),
)
