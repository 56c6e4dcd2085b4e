package plantainturn.connection.engine

/** What is known after an order was sent. */
public sealed interface OrderResult {
    /** The engine has taken the order; a later report tells when it is done. */
    public data object Accepted : OrderResult

    /** The engine refused the order because it has seen [highest]; the order will not act. */
    public data class StaleFence(
        val highest: FenceNumber,
    ) : OrderResult

    /** The engine refused the order; it will not act. */
    public data class Refused(
        val reason: String,
    ) : OrderResult

    /** The order may act, now or later: it or its answer was lost or late. */
    public data class Unknown(
        val reason: String,
    ) : OrderResult
}
