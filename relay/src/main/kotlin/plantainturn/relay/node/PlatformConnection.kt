package plantainturn.relay.node

import plantainturn.connection.store.RecordStore
import plantainturn.connection.store.TopicName
import plantainturn.relay.request.RelayDialect
import plantainturn.relay.residence.EngineControl

/** Everything that a platform's adapter provides to a node. */
public interface PlatformConnection {
    /** The platform's store. */
    public val store: RecordStore

    /** The topic in which operators write the configuration. */
    public val configurationTopic: TopicName

    /** The topic in which instances of services describe themselves. */
    public val instanceTopic: TopicName

    /** Decodes what stands in both. */
    public val records: RecordDecoder

    /** Requests and answers on the wire. */
    public val dialect: RelayDialect

    /** The engines' own interface. */
    public val engines: EngineControl

    /** Method and path of the balancer's probe, such as `GET /ready`. */
    public val readinessCall: String
}
