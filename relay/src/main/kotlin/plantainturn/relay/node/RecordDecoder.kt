package plantainturn.relay.node

import plantainturn.connection.roster.UpstreamInstance
import plantainturn.connection.store.KeyedRecord
import plantainturn.version.route.RoutingConfiguration

/** Decodes records of the platform's topics. */
public interface RecordDecoder {
    /** Returns the configuration in [record], or null and logs the problem if the record contains no valid one. */
    public fun configuration(record: KeyedRecord): RoutingConfiguration?

    /**
     * Returns [record] with digests in place of the access keys in it.
     *
     * [configuration] returns the same for both. The value is null if the record contains no valid configuration.
     */
    public fun redacted(record: KeyedRecord): KeyedRecord

    /** Returns the instance that [record] describes, or null and logs the problem if it describes no usable one. */
    public fun instance(record: KeyedRecord): UpstreamInstance?
}
