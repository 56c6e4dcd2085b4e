package plantainturn.relay.node

import plantainturn.connection.roster.UpstreamInstance
import plantainturn.connection.store.KeyedRecord
import plantainturn.version.route.RoutingConfiguration

/** Decodes records of the platform's topics. */
public interface RecordDecoder {
    /** Returns the configuration in [record], or null if the record is not one; what is wrong is logged. */
    public fun configuration(record: KeyedRecord): RoutingConfiguration?

    /** Returns the instance that [record] describes, or null if it names none to use; what is wrong is logged. */
    public fun instance(record: KeyedRecord): UpstreamInstance?
}
