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

/** A value that a member publishes. A member's later value replaces its earlier value in the same [slot]. */
@Serializable
public sealed interface GossipValue {
    /** Identifies the value among those of its member. */
    public val slot: String

    /** How long the value is valid after its publication. To keep it valid, the member publishes it again in time. */
    public val lifetime: Duration
        get() = Duration.INFINITE

    /** Whether the value is forwarded immediately rather than with the next exchange. */
    public val urgent: Boolean
        get() = false

    /** Whether the value protects upstreams or requests, so that a joining node needs it before other values. */
    public val protective: Boolean
        get() = false

    /**
     * The state of the member itself.
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
     * Values from the latest report of an upstream that the member watches.
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
     * Whether the platform reports that the VM at [address] is leaving.
     *
     * @property leaving false to withdraw an earlier report of the member
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
     * @property part the number of the part; a model always belongs to the same part
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

    /** The member's quarantine entry for one fingerprint. */
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
     * The attempts that the member has in flight.
     *
     * @property inFlight number of attempts by upstream; upstreams without any are omitted
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
