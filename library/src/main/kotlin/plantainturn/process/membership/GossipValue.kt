package plantainturn.process.membership

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.request.quarantine.QuarantineEntry
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.SerializableList
import plantainturn.version.configuration.SerializableMap
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.placement.ModelDemand
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** Something that a member tells the others. A member's later value replaces its earlier one of the same [slot]. */
@Serializable
public sealed interface GossipValue {
    /** Names what the value replaces. */
    public val slot: String

    /** How long after its publication the value holds. A member that stands by it publishes it again before that. */
    public val lifetime: Duration
        get() = Duration.INFINITE

    /** Whether the value is to be passed on at once rather than with the next exchange. */
    public val urgent: Boolean
        get() = false

    /** Whether the value keeps harm from upstreams or requests, so that a node that joins needs it before others. */
    public val protective: Boolean
        get() = false

    /**
     * The state of the node itself.
     *
     * @property ready whether it takes callers' requests
     * @property leaving whether it is stopping
     */
    @Serializable
    @SerialName("status")
    public data class NodeStatus(
        val ready: Boolean,
        val leaving: Boolean = false,
    ) : GossipValue {
        override val slot: String
            get() = "status"
    }

    /**
     * What the member read in the latest report of an upstream that it watches.
     *
     * @property reportAgeMilliseconds how old the report was when the member published it
     * @property ready the models and adapters that can run requests there
     */
    @Serializable
    @SerialName("upstream")
    public data class UpstreamObservation(
        val upstream: UpstreamName,
        val incarnation: String,
        val sequence: Long,
        val reportAgeMilliseconds: Long,
        val running: Int,
        val waiting: Int,
        val tokensPerSecond: Double = 0.0,
        val ready: SerializableList<ModelName> = persistentListOf(),
    ) : GossipValue {
        override val slot: String
            get() = "upstream $upstream"

        override val lifetime: Duration
            get() = 1.minutes
    }

    /**
     * Whether the platform says that the VM at [address] is leaving.
     *
     * @property leaving false takes back what the member said before
     */
    @Serializable
    @SerialName("leaving")
    public data class LeavingVm(
        val address: String,
        val leaving: Boolean = true,
    ) : GossipValue {
        override val slot: String
            get() = "leaving $address"

        override val lifetime: Duration
            get() = 10.minutes

        override val urgent: Boolean
            get() = true

        override val protective: Boolean
            get() = true
    }

    /**
     * A part of the demand that the member measured.
     *
     * @property part the number of the part; each model stays in its part
     */
    @Serializable
    @SerialName("demand")
    public data class Demand(
        val part: Int,
        val demand: SerializableMap<ModelName, ModelDemand>,
    ) : GossipValue {
        override val slot: String
            get() = "demand $part"

        override val lifetime: Duration
            get() = 3.minutes
    }

    /** What the member knows against one fingerprint. */
    @Serializable
    @SerialName("quarantine")
    public data class Quarantine(
        val entry: QuarantineEntry,
    ) : GossipValue {
        override val slot: String
            get() = "quarantine ${entry.fingerprint}"

        override val lifetime: Duration
            get() = entry.remainingMilliseconds.milliseconds

        override val urgent: Boolean
            get() = entry.quarantined

        override val protective: Boolean
            get() = true
    }

    /**
     * Attempts that the member has in flight at upstreams.
     *
     * @property inFlight attempts by upstream; those without any are left out
     */
    @Serializable
    @SerialName("sends")
    public data class RecentSends(
        val inFlight: SerializableMap<UpstreamName, Int>,
    ) : GossipValue {
        override val slot: String
            get() = "sends"

        override val lifetime: Duration
            get() = 1.minutes
    }
}
