package plantainturn.request.relay

/**
 * How an attempt at an instance failed in a way that the instance may be to blame for.
 *
 * @property weight how much it counts against the instance; 1 is enough to suspect it
 */
public enum class FailureKind(
    public val weight: Double,
) {
    /** No connection could be made. */
    UNREACHABLE(1.0),

    /** The connection broke before the whole answer was there, or what came is no answer. */
    BROKEN(0.5),

    /** Nothing was heard in the time that such a request takes. */
    SILENT(0.7),

    /** It answered that it failed; applications fail some requests by themselves. */
    ERROR(0.34),

    /** It refused although it should have had room. */
    REFUSED(0.15),
}
