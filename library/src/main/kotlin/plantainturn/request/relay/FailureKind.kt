package plantainturn.request.relay

/**
 * How an attempt failed if the instance may be at fault.
 *
 * @property weight how much it adds to the failure score of the instance, which is suspected at a score of 1
 */
public enum class FailureKind(
    public val weight: Double,
) {
    /** No connection could be made. */
    UNREACHABLE(1.0),

    /** The connection broke before the whole answer arrived, or what arrived is no valid answer. */
    BROKEN(0.5),

    /** Nothing was received in the time that such a request takes. */
    SILENT(0.7),

    /** It answered with an error; this weighs less because applications fail some requests by themselves. */
    ERROR(0.34),

    /** It refused the request although it should have had capacity. */
    REFUSED(0.15),
}
