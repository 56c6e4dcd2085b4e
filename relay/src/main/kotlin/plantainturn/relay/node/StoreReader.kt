package plantainturn.relay.node

/** Whose reads of the store a node relies on. */
internal enum class StoreReader {
    /** The node is the issuer, which reads for the others. */
    ISSUER,

    /** The issuer hears the store and informs this node. */
    INFORMED,

    /** No issuer informs this node. */
    ALONE,
}
