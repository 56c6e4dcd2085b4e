package plantainturn.relay.request

/**
 * What other nodes do for a request.
 *
 * @property residence has models and adapters loaded
 * @property quota admits requests to quotas that all nodes use together
 * @property forwarder takes requests for a service from which this node is cut off
 */
internal class PeerAccess(
    val residence: ResidenceClient,
    val quota: QuotaAdmission,
    val forwarder: RequestForwarder,
)
