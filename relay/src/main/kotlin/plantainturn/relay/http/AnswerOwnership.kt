package plantainturn.relay.http

/** Tells whether an answer belongs to the request in progress on its connection. */
internal enum class AnswerOwnership {
    /** The answer belongs to the request in progress. */
    OWN,

    /** The answer belongs to another request; the one to the request in progress is still to come. */
    OTHER,

    /** The answer may belong to either, so the outcome of the request in progress is unknown. */
    UNCLEAR,
}
