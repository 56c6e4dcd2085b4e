package plantainturn.relay.loop

/**
 * The kinds of work of a node's event loop that are measured.
 *
 * @property label the name in the log
 */
internal enum class LoopTask(
    val label: String,
) {
    /** Requests that have arrived, up to their first send or wait. */
    REQUEST("requests"),

    /** Further dispatches of all requests that wait. */
    RETRY("retries"),

    /** The node's own report to the issuer, and the issuer's answer. */
    REPORT("reports"),

    /** Answers of this node to other nodes' reports. */
    EXCHANGE("exchanges"),

    /** What the issuer hands on of the entries of instances, and its effects. */
    INSTANCES("instances"),

    /** What the issuer hands on of crash evidence. */
    EVIDENCE("evidence"),

    /** Orders to engines and what they need. */
    ISSUE("issuing"),
}
