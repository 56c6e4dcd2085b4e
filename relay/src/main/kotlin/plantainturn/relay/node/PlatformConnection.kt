package plantainturn.relay.node

import plantainturn.connection.store.RecordStore
import plantainturn.connection.store.TopicName
import plantainturn.relay.request.RelayDialect
import plantainturn.relay.residence.EngineControl

/** Provides a node with access to its platform; implemented by the platform's adapter. */
public interface PlatformConnection {
    /** The platform's store. */
    public val store: RecordStore

    /** The topic in which operators write the configuration. */
    public val configurationTopic: TopicName

    /** The topic in which instances of services describe themselves. */
    public val instanceTopic: TopicName

    /** Decodes the records of both topics. */
    public val records: RecordDecoder

    /** The platform's conventions for requests and answers on the wire. */
    public val dialect: RelayDialect

    /** The control interface of the engines. */
    public val engines: EngineControl

    /** The method and path of the load balancer's probe, such as `GET /ready`. */
    public val readinessCall: String
}
