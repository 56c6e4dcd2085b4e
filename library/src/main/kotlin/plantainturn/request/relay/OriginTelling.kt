package plantainturn.request.relay

/** How the attempt ended to let another node know the origin of a stream before its caller gets an event. */
public enum class OriginTelling {
    /** Another node keeps the origin. */
    KEPT,

    /** No other node has answered in time. */
    LATE,

    /** No other node is known that could keep it. */
    ALONE,
}
